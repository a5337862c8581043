#pragma once

#include <cstdint>

namespace snipefall {

/** The values are part of the protocol. */
enum class gossip_type : std::uint8_t
{
    ping = 0,
    ack = 1,
    nack = 2, ///< From a relay: it is alive, but the target didn't answer it.
    ping_request = 3,
    news = 4, ///< Only updates and facts; needs no answer.
    pull = 5, ///< Asks for what differs from the digests of the sender.
    sync = 6, ///< The answer to a pull; its claims may be old.
};

} // namespace snipefall
