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

} // namespace snipefall
