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
    std::uint64_t refutations = 0; ///< By how much @c started is above the start time; disseminated, because nodes that join later can't count.
    config_version configVersion; ///< As last heard; a change alone isn't disseminated, because each node hears it from each member's probes.
    member_state state = member_state::alive;

    /** The start time in ms without the refutations: what identifies one run of the node to the platform's records. */
    incarnation firstStarted() const { return incarnation(started.value() - refutations); }
};

/** Longest id of a node or failure domain. */
constexpr std::size_t MAX_MEMBER_ID_BYTES = 48;
/** Size of "255.255.255.255:65535". */
constexpr std::size_t MAX_MEMBER_ADDRESS_BYTES = 21;

/** False for records that are empty in a needed field, count more refutations than their incarnation allows, or are too large to be passed on in a datagram. */
inline bool isValid(const member &record)
{
    return record.refutations <= record.started.value() && !record.id.empty() && record.id.str().size() <= MAX_MEMBER_ID_BYTES && !record.peerAddress.empty()
        && record.peerAddress.size() <= MAX_MEMBER_ADDRESS_BYTES && record.callerAddress.size() <= MAX_MEMBER_ADDRESS_BYTES
        && record.domain.str().size() <= MAX_MEMBER_ID_BYTES;
}

} // namespace snipefall
