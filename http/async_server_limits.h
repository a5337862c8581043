#pragma once

#include <chrono>
#include <cstddef>

namespace snipefall {

/** Size limits and timeouts of the connections of an async_http_server. */
struct async_server_limits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 262144;
    std::chrono::microseconds headerTimeout = std::chrono::seconds(3); ///< From the first byte of a request to the end of its header.
    std::chrono::microseconds bodyTimeout = std::chrono::seconds(15); ///< Longest pause between two parts of a request body, and longest write of a response.
    std::chrono::microseconds idleTimeout = std::chrono::seconds(15); ///< Longest time that an open connection waits for the first byte of a request.
};

} // namespace snipefall
