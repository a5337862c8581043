#pragma once

#include <map>
#include <string>

#include "core/ids.h"
#include "policy/route_counts.h"

namespace snipefall {

/** The answer counts of a move that other nodes have reported. The counts of a node that restarts or is gone still contribute to the sum. */
class move_count_ledger
{
public:
    /** Replaces the counts of a node on a route; a version without answers in @p counts keeps its counts. */
    void apply(const node_id &node, const std::string &route, const route_counts &counts);
    /** The sum over all nodes. */
    counts_by_route total() const;

private:
    struct node_counts
    {
        route_counts current;
        route_counts earlierRuns; ///< Counts from before the node restarted.
    };

    std::map<std::string, std::map<node_id, node_counts>> m_routes;
};

} // namespace snipefall
