#pragma once

#include "policy/member.h"

namespace snipefall {

/** A claim about a member, as disseminated between nodes. */
struct member_update
{
    member subject;
    node_id accuser; ///< The node that suspects the member; empty for other states.
};

/** Upper bound of the encoded size in bytes: 10 for each number, 3 for each string header, 5 for the rest. */
inline std::size_t encodedSizeBound(const member_update &update)
{
    constexpr std::size_t FIXED_BYTES = 40;
    const member &subject = update.subject;
    return FIXED_BYTES + subject.id.str().size() + subject.peerAddress.size() + subject.callerAddress.size() + subject.domain.str().size()
        + update.accuser.str().size();
}

} // namespace snipefall
