#pragma once

#include <chrono>
#include <cstddef>

namespace snipefall {

/** Size limits and timeouts of the connections of an async_http_server. */
struct async_server_limits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 262144;
    std::size_t headerFields = 1024; ///< Header and trailer fields of a request.
    std::size_t trailerBytes = 16384; ///< Trailers behind a chunked body, and also a chunk's size line with its extensions.
    std::size_t connections = 65536; ///< Open connections; when there are as many, a new one takes the place of an idle one or is closed.
    std::size_t bodyBytesPerSecond = 1024; ///< Slowest rate at which a client may send a request body, once bodyTimeout has passed.
    std::chrono::microseconds headerTimeout = std::chrono::seconds(3); ///< From the first byte of a request to the end of its header.
    std::chrono::microseconds bodyTimeout = std::chrono::seconds(15); ///< Longest pause between two parts of a request body, and longest write of a response.
    std::chrono::microseconds idleTimeout = std::chrono::seconds(15); ///< Longest time that an open connection waits for the first byte of a request.
};

} // namespace snipefall
