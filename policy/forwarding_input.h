#pragma once

#include <set>
#include <span>

#include "core/ids.h"
#include "policy/permit_record.h"
#include "policy/permit_share.h"
#include "policy/placement_member.h"

namespace snipefall {

/** The input of decideForwarding(): an arriving query and what this node knows of the nodes that hold permits for its service. */
struct forwarding_input
{
    node_id self;
    request_id request; ///< Hash key that distributes forwarded queries over the permit holders.
    bool forwarded = false; ///< The query came from another node.
    permit_share usable; ///< This node's usable permit share for the service.
    const permit_record *record = nullptr; ///< The newest permit record that this node has seen; null if none.
    std::span<const placement_member> placed; ///< Nodes that should hold permits according to placement; used if no permit holder is available.
    std::span<const placement_member> live; ///< Live nodes to which this node can forward.
    std::set<node_id> avoided; ///< Nodes that recently left a forwarded query unanswered.
};

} // namespace snipefall
