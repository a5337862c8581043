#pragma once

#include <string>

#include "core/json.h"
#include "http/http_response.h"

namespace snipefall {

/** Returns a response with a JSON body. */
http_response jsonReply(const json &body, int status = 200);

/** Returns an error response; @p ran says whether the request ran: "not_run", "ran" or "unknown". */
http_response errorReply(int status, const std::string &code, const std::string &message, const std::string &ran = "not_run");

} // namespace snipefall
