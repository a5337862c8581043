#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "core/backend_server.h"
#include "policy/planned_query.h"

namespace snipefall {

/** Which backend servers a query may use. */
struct planning_limits
{
    version_id version;
    const std::set<failure_domain_id> *domainsOut = nullptr; ///< Failure domains that get no new work; may be null.
    const std::set<backend_server_id> *excluded = nullptr; ///< Servers that a suspected request must not reach; may be null.
    snapshot_id newerThan; ///< Only newer snapshots are considered; empty for any.
    std::uint64_t rotation = 0; ///< Spreads the first choice over the replicas.
};

/**
 * Pins a snapshot: the newest one whose every shard has a usable replica, else the one with the largest share of items on usable replicas,
 * the newer one of equals. Without any usable snapshot the plan has no shards.
 */
planned_query planQuery(const std::vector<backend_server> &servers, const planning_limits &limits);

/** Plans a restart: at a snapshot newer than limits.newerThan or, when none is held any more, at the best one there is. */
planned_query planRestart(const std::vector<backend_server> &servers, const planning_limits &limits);

} // namespace snipefall
