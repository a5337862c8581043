#pragma once

#include <vector>

#include "policy/fact.h"
#include "policy/member_event.h"
#include "policy/peer_ahead.h"

namespace snipefall {

/** What a node learned from its peers. */
struct gossip_events
{
    std::vector<member_event> members;
    std::vector<fact> facts;
    std::vector<peer_ahead> ahead;
};

} // namespace snipefall
