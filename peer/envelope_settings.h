#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "peer/peer_key.h"

namespace snipefall {

/** Identity and keys of a node towards its peers. */
struct envelope_settings
{
    node_id self; ///< At most 48 bytes, so that the envelope stays within its share of a datagram.
    incarnation started; ///< Start time of this process in ms.
    std::vector<peer_key> keys; ///< One or two: the first signs, both are accepted while the key is replaced.
    std::uint64_t maxSkewMs = 300000; ///< Largest accepted difference between sending and receiving clocks; 5 min as for request ids.
};

} // namespace snipefall
