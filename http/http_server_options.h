#pragma once

#include <cstddef>
#include <string>

namespace snipefall {

/** Address, limits and TLS files of an http_server. */
struct http_server_options
{
    std::string address = "127.0.0.1"; ///< IP address to listen on.
    unsigned short port = 0;
    unsigned maxThreads = 64; ///< Largest number of concurrently handled requests; further ones are queued.
    std::size_t maxBodyBytes = 1 << 20; ///< Requests with a larger body are rejected with status 413.
    long readTimeoutMs = 5000; ///< Longest time in which a client must complete its request.
    long keepAliveTimeoutMs = 30000;
    std::string certificateFile; ///< PEM file; TLS is disabled if empty.
    std::string privateKeyFile; ///< PEM file.
};

} // namespace snipefall
