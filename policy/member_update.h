#pragma once

#include "policy/member.h"

namespace snipefall {

/** A claim about the state of a member, as disseminated between nodes. */
struct member_update
{
    member subject;
    node_id accuser; ///< The node that suspects the member; empty for other states.
};

/** Upper bound of the size of all numbers and field headers of an encoded update: 10 bytes for each number, 3 for each string header, 5 for the rest. */
constexpr std::size_t UPDATE_FIXED_BYTES = 40;
/** Upper bound of the encoded size of the refutations field, which is omitted when it is 0. */
constexpr std::size_t REFUTATIONS_BYTES = 11;

/** Returns an upper bound of the encoded size in bytes. */
inline std::size_t encodedSizeBound(const member_update &update)
{
    const member &subject = update.subject;
    return UPDATE_FIXED_BYTES + subject.id.str().size() + subject.peerAddress.size() + subject.callerAddress.size() + subject.domain.str().size()
        + update.accuser.str().size() + (subject.refutations > 0 ? REFUTATIONS_BYTES : 0);
}

} // namespace snipefall
