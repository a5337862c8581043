#pragma once

#include <vector>

#include "policy/fact.h"
#include "policy/member_event.h"
#include "policy/newer_config_peer.h"
#include "policy/probe_failure.h"

namespace snipefall {

/** Changes that a node learned from its peers since the last gossip_engine::takeEvents(). */
struct gossip_events
{
    std::vector<member_event> members;
    std::vector<fact> facts; ///< Facts that are new to this node.
    std::vector<probe_failure> failedProbes;
    std::vector<newer_config_peer> newerConfigPeers; ///< Peers with a newer configuration version.
};

} // namespace snipefall
