#pragma once

#include <string>

#include "core/error_code.h"
#include "core/json.h"
#include "http/http_response.h"

namespace snipefall {

/** Whether a refused request ran. */
enum class run_state
{
    not_run,
    ran,
    unknown,
};

std::string_view toString(run_state state);

http_response jsonResponse(const json &body, int status = 200);

/** A refusal: {"error": {code, message, ran}}. */
http_response errorResponse(int status, error_code code, const std::string &message, run_state ran);

/** The HTTP status of a failure. */
int httpStatusOf(error_code code);

} // namespace snipefall
