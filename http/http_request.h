#pragma once

#include <string>
#include <vector>

#include "http/http_header.h"

namespace snipefall {

/** A request received by an http_server. */
struct http_request
{
    std::string method;
    std::string path; ///< Without the query string.
    std::string queryString; ///< Without the question mark.
    std::vector<http_header> headers;
    std::string body;
    std::string peerAddress; ///< IP address of the sender.
    unsigned short peerPort = 0; ///< Identifies the connection, together with peerAddress; 0 if unknown.

    /** The value of the first header field of that name, compared case-insensitively; empty if there is none. */
    std::string header(const std::string &name) const;
    /** The decoded value of a query parameter; empty if there is none. */
    std::string parameter(const std::string &name) const;
};

} // namespace snipefall
