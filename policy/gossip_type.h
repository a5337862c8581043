#pragma once

#include <cstdint>

namespace snipefall {

/** Type of a gossip message. The values are part of the wire protocol. */
enum class gossip_type : std::uint8_t
{
    ping = 0, ///< Probes a member directly.
    ack = 1, ///< Answers a ping, also through a relay.
    nack = 2, ///< Tells the requester of a ping_request that the relay is alive but got no answer from the target.
    ping_request = 3, ///< Asks a relay to ping the target (indirect probe).
    broadcasts = 4, ///< Broadcasts updates and facts; needs no answer.
    pull = 5, ///< Asks for the entries in the buckets that differ from the sender's.
    sync = 6, ///< Answers a pull; its claims may be outdated.
};

} // namespace snipefall
