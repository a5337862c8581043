#pragma once

#include <cstddef>
#include <vector>

#include "policy/shard_trace.h"

namespace snipefall {

/** A query trace, shortened to the limit of entries in an answer. */
struct trace_summary
{
    std::vector<shard_trace> shards; ///< Ordered by shard.
    std::size_t omittedShards = 0;
    std::size_t omittedSubRequests = 0; ///< Sub-requests of the omitted shards.
};

} // namespace snipefall
