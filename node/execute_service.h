#pragma once

#include "core/ids.h"
#include "http/http_request.h"
#include "http/http_response.h"

namespace snipefall {

/** Runs non-idempotent requests at most once. */
class execute_service
{
public:
    http_response handle(const service_id &service, const http_request &request);
};

} // namespace snipefall
