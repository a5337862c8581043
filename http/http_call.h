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

/** The result of an http_call. */
struct http_call_result
{
    transport_status status = transport_status::connect_failed;
    bool mayHaveReachedServer = false; ///< False only if no byte of the request was written to an established connection.
    http_response response; ///< Valid when status is ok.
    std::string message; ///< Error message if status is not ok.
};

/**
 * Runs a call on a new connection and blocks until it ends.
 *
 * The client of the HTTP library resends a request by itself when a reused connection closes without a response. A client that was never connected sends it
 * only once, so each call uses a new client.
 */
http_call_result executeHttpCall(const http_call &call);

/** Splits "ip:port" into @p host and @p port, without a check of the host. Returns false if it is malformed or the port isn't within 1 to 65535. */
bool splitAddress(const std::string &address, std::string &host, unsigned short &port);

} // namespace snipefall
