#pragma once

#include <cstdint>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/answer_outcome.h"

namespace snipefall {

/** One answer to a caller, as it is counted in a node_account. */
struct answer_record
{
    service_id service;
    version_id version; ///< Empty when the request was rejected before a version was selected.
    snapshot_id snapshot; ///< Empty when no snapshot was pinned.
    request_id request;
    answer_outcome outcome = answer_outcome::failed;
    std::uint64_t itemsSeen = 0; ///< Items that the answer covers.
    std::uint64_t itemsTotal = 0; ///< Items of all shards.
    std::uint64_t firstSubRequests = 0; ///< Sub-requests other than hedges and retries.
    std::uint64_t extraSubRequests = 0; ///< Hedged requests and retries.
    duration latency{};
};

} // namespace snipefall
