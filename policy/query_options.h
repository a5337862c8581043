#pragma once

#include <cstdint>

#include "core/service_settings.h"
#include "policy/hedge_settings.h"

namespace snipefall {

/** A number of a query that is unique in its process while answers of its sub-requests may arrive; below 2^44. */
using query_number = strong_number<struct query_number_tag>;

/** What a query takes from its service's settings, its caller and the measured latency. */
struct query_options
{
    query_number number; ///< Makes the ids of the sub-requests unique.
    answer_policy policy = answer_policy::wait_for_coverage;
    double minCoverage = 0.0; ///< Share of items, 0 to 1.
    duration deadline = std::chrono::seconds(2); ///< From the start; on a restart what is left of the first query's deadline.
    duration goodEnough = std::chrono::milliseconds(200); ///< From the start; only for answer_in_time.
    std::uint32_t restartsLeft = 2; ///< How often the query may still start again on a newer snapshot.
    bool restarted = false; ///< The sub-requests of a restart earn no tokens.
    /**
     * Sends one sub-request and waits for its end, at most for a few hedge delays, before the others ("canary request", Dean and Barroso, 2013): a
     * request that crashes the servers that run it then meets one of them, or two if the crash shows only after the hedge was sent.
     */
    bool canary = false;
    hedge_settings hedges;
};

/** The options of a first attempt; @p callerDeadlineMs 0 means that the caller named none, a longer one is cut to the service's. */
query_options makeQueryOptions(const service_settings &settings, query_number number, std::uint32_t callerDeadlineMs, duration hedgeDelay);

} // namespace snipefall
