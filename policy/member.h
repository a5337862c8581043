#pragma once

#include <string>

#include "core/ids.h"
#include "policy/member_state.h"

namespace snipefall {

/** A node as its peers know it. */
struct member
{
    node_id id;
    std::string peerAddress; ///< "ip:port" for datagrams and exchanges between nodes.
    std::string callerAddress; ///< "ip:port" for callers.
    failure_domain_id domain;
    incarnation started; ///< Start time in ms, raised by one for each refutation.
    config_version configVersion; ///< As last heard; a change alone isn't disseminated, because each node hears it from each member's probes.
    member_state state = member_state::alive;
};

/** Longest id of a node or failure domain. */
constexpr std::size_t MAX_MEMBER_ID_BYTES = 48;
/** Size of "255.255.255.255:65535". */
constexpr std::size_t MAX_MEMBER_ADDRESS_BYTES = 21;

/** False for records that are empty in a needed field or too large to be passed on in a datagram. */
inline bool isValid(const member &record)
{
    return !record.id.empty() && record.id.str().size() <= MAX_MEMBER_ID_BYTES && !record.peerAddress.empty()
        && record.peerAddress.size() <= MAX_MEMBER_ADDRESS_BYTES && record.callerAddress.size() <= MAX_MEMBER_ADDRESS_BYTES
        && record.domain.str().size() <= MAX_MEMBER_ID_BYTES;
}

} // namespace snipefall
