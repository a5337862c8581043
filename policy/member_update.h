#pragma once

#include "policy/member.h"

namespace snipefall {

/** A claim about a member, as disseminated between nodes. */
struct member_update
{
    member subject;
    node_id accuser; ///< The node that suspects the member; empty for other states.
};

/** Bytes of the numbers and field headers of an encoded update: 10 for each number, 3 for each string header, 5 for the rest. */
constexpr std::size_t UPDATE_FIXED_BYTES = 40;
/** Bytes of the refutations, which are left out when there are none. */
constexpr std::size_t REFUTATIONS_BYTES = 11;

/** Upper bound of the encoded size in bytes. */
inline std::size_t encodedSizeBound(const member_update &update)
{
    const member &subject = update.subject;
    return UPDATE_FIXED_BYTES + subject.id.str().size() + subject.peerAddress.size() + subject.callerAddress.size() + subject.domain.str().size()
        + update.accuser.str().size() + (subject.refutations > 0 ? REFUTATIONS_BYTES : 0);
}

} // namespace snipefall
