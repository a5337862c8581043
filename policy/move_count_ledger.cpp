#include "policy/move_count_ledger.h"

namespace snipefall {

namespace {

void replaceCounts(version_counts &current, version_counts &earlierRuns, const version_counts &reported)
{
    if (reported.answers == 0) {
        return;
    }
    // The counts of one run only grow.
    if (reported.answers < current.answers) {
        earlierRuns.merge(current);
    }
    current = reported;
}

} // namespace

void move_count_ledger::apply(const node_id &node, const std::string &route, const route_counts &counts)
{
    node_counts &known = m_routes[route][node];
    replaceCounts(known.current.oldVersion, known.earlierRuns.oldVersion, counts.oldVersion);
    replaceCounts(known.current.newVersion, known.earlierRuns.newVersion, counts.newVersion);
    known.current.excessDispersion = counts.excessDispersion;
}

counts_by_route move_count_ledger::total() const
{
    counts_by_route sum;
    for (const auto &[route, nodes] : m_routes) {
        route_counts &counts = sum[route];
        for (const auto &[node, known] : nodes) {
            counts.merge(known.earlierRuns);
            counts.merge(known.current);
        }
    }
    return sum;
}

} // namespace snipefall
