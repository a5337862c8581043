#pragma once

#include <string>
#include <vector>

#include "http/http_header.h"

namespace snipefall {

/** A response to send or one that was received. */
struct http_response
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<http_header> headers;
    bool closeConnection = false; ///< Closes the connection after the response.
    bool closeWithoutResponse = false; ///< Closes the connection and sends nothing; the stand-ins lose answers this way.
};

} // namespace snipefall
