#pragma once

#include <optional>
#include <vector>

#include "core/ids.h"
#include "policy/shard_failure.h"
#include "policy/sub_request_trace.h"

namespace snipefall {

/** Trace of one shard of a query. */
struct shard_trace
{
    shard_index shard;
    std::vector<sub_request_trace> subRequests; ///< Ordered by send time.
    std::optional<shard_failure> missing; ///< Reason why the answer does not contain the shard; std::nullopt if it does.
};

} // namespace snipefall
