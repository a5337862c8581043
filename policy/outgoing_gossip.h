#pragma once

#include "policy/gossip_message.h"

namespace snipefall {

/** A datagram to send. */
struct outgoing_gossip
{
    std::string address; ///< "ip:port"
    node_id recipient; ///< Empty when the node behind the address isn't known yet.
    gossip_message message;
};

} // namespace snipefall
