#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"
#include "policy/permit_record.h"
#include "policy/permit_share.h"
#include "policy/placement_member.h"

namespace snipefall {

/** What this node does with a query that arrived. */
enum class hop_kind
{
    serve, ///< It is offered to this node's own admission queue.
    forward, ///< It is sent whole to another node, which may not forward it again.
    refuse, ///< Not run: no node that can be reached holds permits, or the query has been forwarded already.
};

struct hop_decision
{
    hop_kind kind = hop_kind::refuse;
    std::optional<placement_member> target; ///< Set for forward.
};

/** A query on arrival and what this node knows of the service's holders. */
struct hop_question
{
    node_id self;
    request_id request; ///< Spreads forwarded queries over the holders.
    bool forwarded = false; ///< The query came from another node.
    permit_share usable; ///< This node's usable share.
    const permit_record *record = nullptr; ///< The newest record that this node has seen; may be null.
    std::vector<placement_member> placed; ///< Where the share should be by placement; used while no holder is known.
    std::vector<placement_member> live; ///< Live nodes that this node can forward to.
    std::set<node_id> avoided; ///< Nodes that did not answer a forwarded query just now.
};

/** Decides whether a node serves a query, forwards it to a holder of permits, or refuses it as not run. */
hop_decision routeHop(const hop_question &question);

} // namespace snipefall
