#pragma once

#include <functional>
#include <string>

#include "policy/fact.h"
#include "policy/member_event.h"

namespace snipefall {

/** Called on the service's thread without locks; they must not block, because probes wait meanwhile. */
struct gossip_callbacks
{
    std::function<void(const member_event &event)> onMemberEvent;
    std::function<void(const fact &news)> onFact; ///< Only facts of peers.
    /** A peer holds a newer configuration; repeated about twice a second until setConfigVersion catches up. */
    std::function<void(const std::string &address, config_version version)> onPeerAhead;
};

} // namespace snipefall
