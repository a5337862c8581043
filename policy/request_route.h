#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/route_target.h"

namespace snipefall {

/** Route for the requests of one host and path prefix, and the settings with which they are served. */
struct request_route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    bool isPublic = false; ///< Whether callers need no key although the configuration has organisations.
    bool idempotent = false; ///< Whether a request may run more than once, so that it may be hedged and retried after a lost answer.
    std::size_t maxServers = 1; ///< Backend servers that one request, or one sub-request of a query, may be sent to.
    duration timeout{}; ///< Longest time until the final answer is sent.
    duration targetLatency{}; ///< Latency within which callers want an answer; later answers still count, but less.
    int rank = 0; ///< Priority that the platform configures for the route; 0 is the highest.
    std::vector<route_target> targets; ///< Weighted services of a route whose requests go to a single backend server; empty for a query.
    std::vector<service_id> shards; ///< Services of a query, one for each shard; empty for other requests.
    std::size_t topRecords = 0; ///< Number of records in the answer of a query.
    double minCoverage = 0; ///< Smallest share of shards, 0 to 1, in a successful answer of a query.

    bool isQuery() const { return !shards.empty(); }
};

} // namespace snipefall
