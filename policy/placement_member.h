#pragma once

#include <string>

#include "core/ids.h"

namespace snipefall {

/** A live node as a candidate for the placement of services. */
struct placement_member
{
    node_id id;
    incarnation started; ///< Incarnation of the node, from member::firstStarted().
    failure_domain_id domain;
    double weight = 1.0; ///< Relative capacity; a node with a weight of 0 or less is draining and is not assigned any service.
    std::string callerAddress; ///< "ip:port" to which callers connect.
};

} // namespace snipefall
