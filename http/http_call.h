#pragma once

#include <string>
#include <vector>

#include "http/http_header.h"
#include "http/http_response.h"
#include "http/transport_status.h"

namespace snipefall {

/** A request to one server, with its time limits. */
struct http_call
{
    std::string address; ///< "ip:port"
    std::string method = "GET";
    std::string target; ///< Path and query string.
    std::string body;
    std::vector<http_header> headers;
    long connectTimeoutMs = 500;
    long timeoutMs = 2000; ///< From the start of the call to the last byte of the response.
};

/** What became of an http_call. */
struct http_call_result
{
    transport_status status = transport_status::connect_failed;
    bool mayHaveReachedServer = false; ///< False only if no byte of the request was handed to a connection.
    http_response response; ///< Valid when status is ok.
    std::string message; ///< The last reason when status is not ok.
};

/**
 * Runs a call on a new connection and waits for its end.
 *
 * The client of the HTTP library sends a request again on its own when a connection that was already open closes without a
 * response. A client that was never connected sends it once, so this function never reuses one.
 */
http_call_result executeHttpCall(const http_call &call);

/** Splits "ip:port"; returns false if it is malformed. */
bool splitAddress(const std::string &address, std::string &host, unsigned short &port);

} // namespace snipefall
