#pragma once

#include <chrono>
#include <cstddef>

namespace snipefall {

/** What a client of the asynchronous server may send and how long it may take. */
struct async_server_limits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 262144;
    std::chrono::microseconds headerTimeout = std::chrono::seconds(3); ///< From the first byte of a request to its end of header.
    std::chrono::microseconds bodyTimeout = std::chrono::seconds(15); ///< Longest pause between two pieces of a body, or of a response that the client reads.
    std::chrono::microseconds idleTimeout = std::chrono::seconds(15);
};

} // namespace snipefall
