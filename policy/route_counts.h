#pragma once

#include <map>
#include <string>

#include "policy/version_counts.h"

namespace snipefall {

/** The answer counts of both versions of a move on one route. */
struct route_counts
{
    version_counts oldVersion;
    version_counts newVersion;
    /**
     * Overdispersion of the old version's errors: how much more they vary between seconds than independent errors would (variance over mean, minus 1).
     * Set only when the counts of the two versions are from different times, because a burst of errors then affects only one of them, by chance.
     */
    double excessDispersion = 0;

    void merge(const route_counts &other)
    {
        oldVersion.merge(other.oldVersion);
        newVersion.merge(other.newVersion);
        // For bursts of errors that all nodes see at the same time, the excess is proportional to the number of answers, so the values of the nodes add up.
        excessDispersion += other.excessDispersion;
    }

    bool operator==(const route_counts &) const = default;
};

/**
 * The key of the entry for all routes together, which shows a fault of the whole version sooner than the single routes do. Its comparison is fair because both
 * versions get the same mix of routes.
 */
inline constexpr const char *ALL_ROUTES = "*";

/**
 * The key of the entry for the first answers on connections of a route. Their latencies include the set-up of a connection and are compared only with each
 * other; where each node rarely sends requests, no connection is used twice and there are no other latencies.
 */
inline std::string newConnectionsKey(const std::string &route)
{
    return route + " (new connections)";
}

/** Counts by route, with additional entries under ALL_ROUTES and newConnectionsKey(). */
using counts_by_route = std::map<std::string, route_counts>;

} // namespace snipefall
