#pragma once

#include <string>
#include <vector>

#include "http/http_header.h"

namespace snipefall {

/** A received request. */
struct http_request
{
    std::string method;
    std::string path; ///< Without the query string.
    std::string queryString; ///< Without the question mark.
    std::vector<http_header> headers;
    std::string body;
    std::string peerAddress; ///< IP address of the sender.
    unsigned short peerPort = 0; ///< With peerAddress, the identity of the connection.

    /** The value of a header, compared without case, or an empty string. */
    std::string header(const std::string &name) const;
    /** The decoded value of a query parameter, or an empty string. */
    std::string parameter(const std::string &name) const;
};

} // namespace snipefall
