#pragma once

#include <string>
#include <vector>

#include "http/http_header.h"

namespace snipefall {

/** A response to be sent by an http_server or one received by executeHttpCall(). */
struct http_response
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<http_header> headers;
    bool closeConnection = false; ///< Closes the connection after the response.
    bool closeWithoutResponse = false; ///< Closes the connection without sending anything; test servers use it to simulate a lost response.
};

} // namespace snipefall
