#pragma once

#include "policy/gossip_message.h"

namespace snipefall {

/** A gossip message and its destination. */
struct outgoing_gossip
{
    std::string address; ///< "ip:port"
    node_id recipient; ///< Empty while the id of the node at this address isn't known.
    gossip_message message;
};

} // namespace snipefall
