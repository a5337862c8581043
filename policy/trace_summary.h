#pragma once

#include <cstddef>
#include <vector>

#include "policy/shard_trace.h"

namespace snipefall {

/** The part of a trace that fits into an answer. */
struct trace_summary
{
    std::vector<shard_trace> shards; ///< In order of the shards.
    std::size_t omittedShards = 0;
    std::size_t omittedSubRequests = 0; ///< Those of the omitted shards.
};

} // namespace snipefall
