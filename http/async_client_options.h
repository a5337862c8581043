#pragma once

#include <chrono>
#include <cstddef>

namespace snipefall {

/** Limits of the asynchronous client. */
struct async_client_options
{
    std::chrono::milliseconds connectTimeout{400}; ///< Covers a busy server's handshake; a lost first packet is sent again only after a second.
    std::chrono::milliseconds defaultKeepTime{4000}; ///< How long an idle connection is kept if the server states no time.
    std::chrono::milliseconds keepMargin{500}; ///< An idle connection is given up this long before the server would close it.
    std::size_t maxResponseBytes = 8U << 20U;
    bool probeSilentConnections = false; ///< Keep-alive probes find connections that went silent while a response is awaited for long.
};

} // namespace snipefall
