#pragma once

#include <cstddef>
#include <string>

namespace snipefall {

/** Limits and addresses of an http_server. */
struct http_server_options
{
    std::string address = "127.0.0.1"; ///< IP address to listen on.
    unsigned short port = 0;
    unsigned maxThreads = 64; ///< Requests that run at the same time; further ones wait.
    std::size_t maxBodyBytes = 1 << 20; ///< Larger bodies are refused with status 413.
    long readTimeoutMs = 5000; ///< Time for a sender to complete its request.
    long keepAliveTimeoutMs = 30000;
    std::string certificateFile; ///< PEM; TLS is off when empty.
    std::string privateKeyFile; ///< PEM.
};

} // namespace snipefall
