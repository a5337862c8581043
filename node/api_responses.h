#pragma once

#include <string>

#include "core/error_code.h"
#include "core/json.h"
#include "http/http_response.h"

namespace snipefall {

/** Whether a request that got an error response was executed. */
enum class run_state
{
    not_run,
    ran,
    unknown,
};

std::string_view toString(run_state state);

http_response jsonResponse(const json &body, int status = 200);

/** Creates an error response with the body {"error": {code, message, ran}}. */
http_response errorResponse(int status, error_code code, const std::string &message, run_state ran);

/** Returns the HTTP status for an error code. */
int httpStatusOf(error_code code);

} // namespace snipefall
