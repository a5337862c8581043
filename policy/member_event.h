#pragma once

#include "policy/member.h"

namespace snipefall {

enum class member_event_kind
{
    joined, ///< Became live: new, or back after dead or left.
    suspected,
    refuted, ///< Was suspect and is alive.
    died,
    departed, ///< Left by itself.
    restarted, ///< A live member has a new start time or address.
    id_conflict, ///< Another process uses this node's id.
};

inline const char *toString(member_event_kind kind)
{
    constexpr const char *NAMES[] = {"joined", "suspected", "refuted", "died", "departed", "restarted", "id_conflict"};
    return NAMES[static_cast<int>(kind)];
}

/** A change in what this node believes of a member. */
struct member_event
{
    member_event_kind kind;
    member subject;
};

} // namespace snipefall
