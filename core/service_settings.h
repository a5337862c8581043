#pragma once

#include <cstdint>

#include "core/answer_policy.h"
#include "core/ids.h"

namespace snipefall {

/** The configuration of one service. */
struct service_settings
{
    version_id version; ///< The version of backend servers that answers while no move runs.
    answer_policy policy = answer_policy::wait_for_coverage;
    double minCoverage = 0.0; ///< Share of items, 0 to 1; an answer below it is a refusal.
    std::uint32_t deadlineMs = 2000; ///< Longest time of a query when the caller names none.
    std::uint32_t goodEnoughMs = 200; ///< Time after which answer_in_time stops to wait.
    std::uint32_t slotsPerServer = 2; ///< Requests that a backend server runs at the same time.
    std::uint32_t connectionsPerServer = 25;
    std::uint32_t maxQueuedQueries = 64; ///< Queries a node keeps waiting for permits.
    bool open = true; ///< False while the service is closing or closed: new work is refused as not run.
};

} // namespace snipefall
