#pragma once

#include <chrono>
#include <cstddef>

namespace snipefall {

/** Timeouts and limits of an async_http_client. */
struct async_client_options
{
    std::chrono::milliseconds connectTimeout{400}; ///< Long enough for the handshake of a busy server; TCP retransmits a lost SYN only after a second.
    std::chrono::milliseconds defaultIdleTimeout{4000}; ///< Idle timeout of a connection whose server sends no Keep-Alive timeout.
    std::chrono::milliseconds idleTimeoutMargin{
        500}; ///< Idle connections are closed this long before the server does, so that no request meets a closing connection.
    std::size_t maxResponseBytes = 8U << 20U;
    bool enableTcpKeepAlive = false; ///< Enables TCP keep-alive, which detects a dead peer while a response is pending for a long time.
};

} // namespace snipefall
