#pragma once

#include <cstdint>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/answer_outcome.h"

namespace snipefall {

/** What one caller was told, as the account needs it. */
struct answer_record
{
    service_id service;
    version_id version; ///< Empty when the request was refused before a version was chosen.
    snapshot_id snapshot; ///< Empty when no snapshot was pinned.
    request_id request;
    answer_outcome outcome = answer_outcome::failed;
    std::uint64_t itemsSeen = 0;
    std::uint64_t itemsTotal = 0;
    std::uint64_t firstSubRequests = 0;
    std::uint64_t extraSubRequests = 0; ///< Hedges and retries.
    duration latency{};
};

} // namespace snipefall
