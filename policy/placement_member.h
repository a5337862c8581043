#pragma once

#include <string>

#include "core/ids.h"

namespace snipefall {

/** A live node as placement sees it. */
struct placement_member
{
    node_id id;
    incarnation started; ///< member::firstStarted().
    failure_domain_id domain;
    double weight = 1.0; ///< Relative capacity; at 0 or less the node is live but receives no new placement (it drains).
    std::string callerAddress; ///< "ip:port" that callers connect to.
};

} // namespace snipefall
