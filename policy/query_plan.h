#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.h"

namespace snipefall {

/** Index of a backend server in query_plan::servers. */
using server_index = strong_number<struct server_index_tag, std::uint32_t>;

/** One shard of a pinned snapshot. */
struct shard_plan
{
    std::uint64_t items = 0;
    std::vector<server_index> candidates; ///< Servers that hold the shard, in order of preference; only the first 32 are used.
};

/** A pinned snapshot with its shard map, from which alone the totals of the coverage are computed. */
struct query_plan
{
    snapshot_id snapshot;
    std::vector<shard_plan> shards;
    std::vector<backend_server_id> servers;
};

} // namespace snipefall
