#pragma once

#include <optional>

#include "policy/placement_member.h"

namespace snipefall {

/** What this node does with a query that arrived. */
enum class hop_kind
{
    serve, ///< It is offered to this node's own admission queue.
    forward, ///< It is sent whole to another node, which may not forward it again.
    refuse, ///< Not run: no node that can be reached holds permits, or the query has been forwarded already.
};

/** The decision on one query. */
struct hop_decision
{
    hop_kind kind = hop_kind::refuse;
    std::optional<placement_member> target; ///< Set for forward.
};

} // namespace snipefall
