#pragma once

#include <map>
#include <set>

#include "core/ids.h"

namespace snipefall {

/** Which nodes live, as one node sees it. */
struct cluster_view
{
    std::map<node_id, incarnation> live; ///< By membership, with member::firstStarted(); includes draining nodes and this one.
    std::set<node_id> gone; ///< Nodes whose VM the platform's list no longer shows. A node that is only unreachable is not gone.
};

} // namespace snipefall
