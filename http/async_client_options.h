#pragma once

#include <chrono>
#include <cstddef>
#include <memory>

namespace snipefall {

class memory_account;

/** Timeouts and limits of an async_http_client. */
struct async_client_options
{
    std::chrono::milliseconds connectTimeout{400}; ///< Long enough for the handshake of a busy server; TCP retransmits a lost SYN only after a second.
    std::chrono::milliseconds defaultIdleTimeout{4000}; ///< Idle timeout of a connection whose server sends no Keep-Alive timeout.
    std::chrono::milliseconds idleTimeoutMargin{
        500}; ///< Idle connections are closed this long before the server does, so that no request meets a closing connection.
    std::size_t maxResponseBytes = 8U << 20U;
    std::size_t maxTrailerBytes = 65536; ///< Trailers behind a chunked body, and also a chunk's size line with its extensions.
    std::shared_ptr<memory_account> memory; ///< Is charged for what the server's responses take; none if null.
    bool enableTcpKeepAlive = false; ///< Enables TCP keep-alive, which detects a dead peer while a response is pending for a long time.
};

} // namespace snipefall
