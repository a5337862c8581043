#pragma once

#include "policy/member.h"

namespace snipefall {

/** Kind of a member_event. */
enum class member_event_kind
{
    joined, ///< A member became live: it is new, or was dead or had left.
    suspected, ///< A live member became suspect, after a failed probe of this node or a claim of a peer.
    refuted, ///< A suspect proved that it is alive.
    died, ///< A suspicion timed out, or a peer declared the member dead.
    departed, ///< A member announced that it leaves.
    restarted, ///< A live member has a new start time or address.
    id_conflict, ///< Another process uses the id of this node.
};

inline const char *toString(member_event_kind kind)
{
    constexpr const char *NAMES[] = {"joined", "suspected", "refuted", "died", "departed", "restarted", "id_conflict"};
    return NAMES[static_cast<int>(kind)];
}

/** A change of a member's state in this node's view. */
struct member_event
{
    member_event_kind kind;
    member subject;
};

} // namespace snipefall
