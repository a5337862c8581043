#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/route_target.h"

namespace snipefall {

/** How requests of one host and path prefix are served. */
struct request_route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    bool idempotent = false;
    std::size_t maxServers = 1; ///< Backend servers that one request, or one sub-request of a query, may be sent to.
    duration timeout{}; ///< Longest time until the final answer.
    duration targetLatency{}; ///< An answer after this time is worth less to the caller.
    int rank = 0; ///< 0 is served first.
    std::vector<route_target> targets; ///< The services of a route to one backend server; empty for a query.
    std::vector<service_id> shards; ///< The services of a query, one for each shard; empty for other requests.
    std::size_t topRecords = 0; ///< Records in the answer of a query.
    double minCoverage = 0; ///< Smallest share of shards in a successful answer of a query.

    bool isQuery() const { return !shards.empty(); }
};

} // namespace snipefall
