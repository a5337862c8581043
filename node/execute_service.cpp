#include "node/execute_service.h"

#include "node/api_responses.h"

namespace snipefall {

http_response execute_service::handle(const service_id &, const http_request &)
{
    return errorResponse(503, error_code::unavailable, "claims are not available", run_state::not_run);
}

} // namespace snipefall
