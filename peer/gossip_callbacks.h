#pragma once

#include <functional>
#include <string>

#include "policy/fact.h"
#include "policy/member_event.h"

namespace snipefall {

/** Callbacks of gossip_service. They run on its thread without locks held and must not block, because they delay the probes of other members. */
struct gossip_callbacks
{
    std::function<void(const member_event &event)> onMemberEvent;
    std::function<void(const fact &newFact)> onFact; ///< Called for facts published by peers, not by this node.
    /** Called when a peer holds a newer configuration; repeated about twice a second until setConfigVersion is called with that version. */
    std::function<void(const std::string &address, config_version version)> onNewerConfigPeer;
};

} // namespace snipefall
