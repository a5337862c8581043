#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "http/transport_status.h"

namespace snipefall {

/** One request of a fan-out, sent on a pooled connection. */
struct sub_request
{
    std::string address; ///< "ip:port"
    std::string method = "POST";
    std::string target;
    std::string body; ///< JSON.
    std::string requestId; ///< Sent as header Request-Id when not empty.
    std::chrono::steady_clock::time_point deadline; ///< The request is given up at this time.
    std::chrono::milliseconds connectTimeout{500};
    std::chrono::milliseconds progressTimeout{1000}; ///< Longest time without a byte of the response.
};

/** How a sub_request ended. */
struct sub_response
{
    transport_status status = transport_status::connect_failed;
    int httpStatus = 0;
    std::string body;
    std::string message; ///< The last reason when status is not ok.
    bool mayHaveReachedServer = false;
    bool reusedConnection = false;
    /**
     * How often the whole request went out: the HTTP library repeats it when a reused connection closes without a response. An upper bound of
     * what the server received whole; a request that left in part has 0.
     */
    unsigned transmissions = 0;
    std::chrono::microseconds elapsed{0}; ///< From the start of the sub-request to its end.
};

} // namespace snipefall
