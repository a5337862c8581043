#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "policy/shard_failure.h"

namespace snipefall {

/** A shard that an answer does not contain. */
struct missing_shard
{
    shard_index shard;
    shard_failure reason = shard_failure::late;
};

/** How much of the pinned snapshot an answer contains. The totals come from the shard map of the snapshot. */
struct coverage
{
    std::uint32_t shardsAnswered = 0;
    std::uint32_t shardsTotal = 0;
    std::uint64_t itemsSeen = 0;
    std::uint64_t itemsTotal = 0;
    std::vector<missing_shard> missing; ///< Ordered by shard.

    bool complete() const { return shardsAnswered == shardsTotal && itemsSeen == itemsTotal; }
    /** Share of the items seen, 0 to 1. For a snapshot without items, 1 if all shards answered and 0 otherwise. */
    double itemShare() const
    {
        if (itemsTotal == 0) {
            return shardsAnswered == shardsTotal ? 1.0 : 0.0;
        }
        return static_cast<double>(itemsSeen) / static_cast<double>(itemsTotal);
    }
};

} // namespace snipefall
