#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "http/transport_status.h"

namespace snipefall {

/** One request of a fan-out, sent by a fan_out_engine on a pooled connection. */
struct sub_request
{
    std::string address; ///< "ip:port"
    std::string method = "POST";
    std::string target;
    std::string body; ///< JSON.
    std::string requestId; ///< Sent in the header Request-Id if not empty.
    std::chrono::steady_clock::time_point deadline; ///< The request is aborted with status deadline_exceeded at this time.
    std::chrono::milliseconds connectTimeout{500};
    std::chrono::milliseconds progressTimeout{1000}; ///< Longest time on an established connection without progress of the request or its response.
};

/** How a sub_request ended. */
struct sub_response
{
    transport_status status = transport_status::connect_failed;
    int httpStatus = 0;
    std::string body;
    std::string message; ///< Error message if status is not ok.
    bool mayHaveReachedServer = false; ///< False only if no byte of the request was written to an established connection.
    bool reusedConnection = false;
    /**
     * How many times the complete request was sent: the HTTP library resends it when a reused connection closes without a response. An upper bound of
     * the complete requests that the server received; 0 for a request that was sent only in part.
     */
    unsigned transmissions = 0;
    std::chrono::microseconds elapsed{0}; ///< From the start of the sub-request to its end.
};

} // namespace snipefall
