#pragma once

#include <optional>
#include <vector>

#include "core/ids.h"
#include "policy/shard_failure.h"
#include "policy/sub_request_trace.h"

namespace snipefall {

/** What the trace of a query holds of one shard. */
struct shard_trace
{
    shard_index shard;
    std::vector<sub_request_trace> subRequests; ///< In the order in which they were sent.
    std::optional<shard_failure> missing; ///< Why the answer does not contain the shard.
};

} // namespace snipefall
