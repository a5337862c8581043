#include "node/api_responses.h"

namespace snipefall {

std::string_view toString(run_state state)
{
    switch (state) {
    case run_state::not_run:
        return "not_run";
    case run_state::ran:
        return "ran";
    case run_state::unknown:
        return "unknown";
    }
    return "unknown";
}

http_response jsonResponse(const json &body, int status)
{
    http_response response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

http_response errorResponse(int status, error_code code, const std::string &message, run_state ran)
{
    return jsonResponse({{"error", {{"code", toString(code)}, {"message", message}, {"ran", toString(ran)}}}}, status);
}

int httpStatusOf(error_code code)
{
    switch (code) {
    case error_code::invalid_argument:
        return 400;
    case error_code::not_found:
        return 404;
    case error_code::conflict:
        return 409;
    case error_code::permission_denied:
        return 403;
    case error_code::quarantined:
        return 422;
    case error_code::overloaded:
        return 429;
    case error_code::deadline_exceeded:
        return 504;
    case error_code::unavailable:
    case error_code::history_gone:
    case error_code::no_permits:
    case error_code::unknown_result:
        return 503;
    case error_code::internal:
        return 500;
    }
    return 500;
}

} // namespace snipefall
