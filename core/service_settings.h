#pragma once

#include <cstdint>

#include "core/answer_policy.h"
#include "core/ids.h"

namespace snipefall {

/** The configuration of one service. */
struct service_settings
{
    version_id version; ///< The backend server version that receives the queries while no version move runs.
    answer_policy policy = answer_policy::wait_for_coverage;
    double minCoverage = 0.0; ///< Minimum share of items covered, 0 to 1; a query that reaches less coverage is answered with an error.
    std::uint32_t deadlineMs = 2000; ///< Query deadline in milliseconds if the caller sets none.
    std::uint32_t goodEnoughMs = 200; ///< Time in milliseconds after which answer_in_time ends a query that has reached minCoverage.
    std::uint32_t slotsPerServer = 2; ///< Concurrency limit: requests that a backend server executes at the same time.
    std::uint32_t connectionsPerServer = 25;
    std::uint32_t maxQueuedQueries = 64; ///< Queries of the service that may wait for permits on one node.
    bool open = true; ///< False while the service is closing or closed; new queries are then rejected without being executed.
};

} // namespace snipefall
