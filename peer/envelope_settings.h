#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "peer/peer_key.h"

namespace snipefall {

/** Identity and keys with which a node signs and verifies peer messages. */
struct envelope_settings
{
    node_id self; ///< Id of this node; at most 48 bytes, so that the envelope fits the space reserved for it in a datagram.
    incarnation started; ///< Start time of this process in ms.
    std::vector<peer_key> keys; ///< One or two: the first one signs, and both are accepted during a key rotation.
    std::uint64_t maxClockSkewMs = 300000; ///< Largest accepted difference between the clocks of sender and receiver; 5 min, as for request ids.
};

} // namespace snipefall
