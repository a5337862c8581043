#include "tests/stand_ins/stand_in_replies.h"

namespace snipefall {

http_response jsonReply(const json &body, int status)
{
    http_response response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

http_response errorReply(int status, const std::string &code, const std::string &message, const std::string &ran)
{
    return jsonReply({{"error", {{"code", code}, {"message", message}, {"ran", ran}}}}, status);
}

} // namespace snipefall
