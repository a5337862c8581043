#pragma once

#include <set>
#include <span>

#include "core/ids.h"
#include "policy/permit_record.h"
#include "policy/permit_share.h"
#include "policy/placement_member.h"

namespace snipefall {

/** A query on arrival and what this node knows of the service's holders. */
struct hop_question
{
    node_id self;
    request_id request; ///< Spreads forwarded queries over the holders.
    bool forwarded = false; ///< The query came from another node.
    permit_share usable; ///< This node's usable share.
    const permit_record *record = nullptr; ///< The newest record that this node has seen; may be null.
    std::span<const placement_member> placed; ///< Where the share should be by placement; used while no holder is known.
    std::span<const placement_member> live; ///< Live nodes that this node can forward to.
    std::set<node_id> avoided; ///< Nodes that did not answer a forwarded query just now.
};

} // namespace snipefall
