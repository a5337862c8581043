#pragma once

#include <string>

#include "core/ids.h"
#include "policy/member_state.h"

namespace snipefall {

/** The membership record of a node. */
struct member
{
    node_id id;
    std::string peerAddress; ///< "ip:port" for gossip datagrams and exchanges between nodes.
    std::string callerAddress; ///< "ip:port" at which the node accepts connections of callers.
    failure_domain_id domain;
    incarnation started; ///< Incarnation: the start time in ms, incremented to refute claims that the node is suspect or dead.
    /** Difference between @c started and the start time in ms. It is disseminated, because a node that joins later can't count refutations. */
    std::uint64_t refutations = 0;
    /** Last known configuration version. A change of it alone isn't broadcast, because every datagram of a member carries its version. */
    config_version configVersion;
    member_state state = member_state::alive;

    /** The start time in ms, without refutations. It identifies this run of the node in records stored in the platform. */
    incarnation firstStarted() const { return incarnation(started.value() - refutations); }
};

/** Maximum length of the id of a node or failure domain. */
constexpr std::size_t MAX_MEMBER_ID_BYTES = 48;
/** Maximum length of an address: "255.255.255.255:65535". */
constexpr std::size_t MAX_MEMBER_ADDRESS_BYTES = 21;

/** Returns false for records that lack a required field, have more refutations than their incarnation allows, or are too large for a gossip datagram. */
inline bool isValid(const member &record)
{
    return record.refutations <= record.started.value() && !record.id.empty() && record.id.str().size() <= MAX_MEMBER_ID_BYTES && !record.peerAddress.empty()
        && record.peerAddress.size() <= MAX_MEMBER_ADDRESS_BYTES && record.callerAddress.size() <= MAX_MEMBER_ADDRESS_BYTES
        && record.domain.str().size() <= MAX_MEMBER_ID_BYTES;
}

} // namespace snipefall
