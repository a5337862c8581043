#pragma once

#include <optional>

#include "policy/placement_member.h"

namespace snipefall {

/** What this node does with an arriving query. */
enum class forwarding_action
{
    serve, ///< Offers it to this node's own admission queue.
    forward, ///< Sends the complete query to another node, which must not forward it again.
    refuse, ///< Rejects it without running it: no reachable node holds permits, or the query has already been forwarded once.
};

/** The forwarding decision for one query. */
struct forwarding_decision
{
    forwarding_action kind = forwarding_action::refuse;
    std::optional<placement_member> target; ///< The node that gets the query; set only for forwarding_action::forward.
};

} // namespace snipefall
