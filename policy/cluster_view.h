#pragma once

#include <map>
#include <set>

#include "core/ids.h"

namespace snipefall {

/** The cluster's nodes as one node sees them. */
struct cluster_view
{
    std::map<node_id, incarnation> live; ///< Live members and their member::firstStarted(); includes draining nodes and this one.
    std::set<node_id> deprovisioned; ///< Nodes whose VM is missing from the platform's VM list. Unreachable nodes with a listed VM aren't included.
};

} // namespace snipefall
