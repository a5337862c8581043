#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "core/backend_server.h"
#include "policy/planned_query.h"

namespace snipefall {

/** Restricts which backend servers and snapshots a query may use. */
struct planning_limits
{
    version_id version; ///< Only servers of this version are used.
    const std::set<failure_domain_id> *excludedDomains = nullptr; ///< Failure domains to which no new work is sent; may be null.
    const std::set<backend_server_id> *excluded =
        nullptr; ///< Servers to which this request must not be sent because it is suspected of crashing servers; may be null.
    snapshot_id newerThan; ///< Only snapshots newer than this one are considered; empty for any.
    std::uint64_t rotation = 0; ///< Offset that rotates the candidates of each shard, so that queries spread over the replicas.
};

/**
 * Pins a snapshot and returns its shards with their candidate servers.
 *
 * Chooses the newest snapshot of which every shard has a usable replica. If there is none, chooses the one with the largest share of items on
 * usable replicas, and the newer one if two are equal. Without any usable snapshot the plan has no shards.
 */
planned_query planQuery(const std::vector<backend_server> &servers, const planning_limits &limits);

/** Plans a restarted query: on a snapshot newer than planning_limits::newerThan or, if no server holds one, on any snapshot as planQuery() does. */
planned_query planRestart(const std::vector<backend_server> &servers, const planning_limits &limits);

} // namespace snipefall
