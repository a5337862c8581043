#pragma once

#include <cstdint>

#include "core/service_settings.h"
#include "policy/hedge_settings.h"

namespace snipefall {

/** Number of a query, below 2^44. It is not reused in this process while answers to the query's sub-requests may still arrive. */
using query_number = strong_number<struct query_number_tag>;

/** Options of one query, derived from the settings of its service, the caller's request and the measured latency. */
struct query_options
{
    query_number number; ///< Part of every sub_request_id, which it makes unique in the process.
    answer_policy policy = answer_policy::wait_for_coverage;
    double minCoverage = 0.0; ///< Smallest share of items, 0 to 1, in a successful answer.
    duration deadline = std::chrono::seconds(2); ///< Measured from start(); a restarted query gets what is left of the original deadline.
    /** Time after start() from which an answer with minCoverage ends the query; only for answer_policy::answer_in_time. */
    duration goodEnough = std::chrono::milliseconds(200);
    std::uint32_t restartsLeft = 2; ///< Number of times that the query may still be restarted on a newer snapshot.
    bool restarted = false; ///< Whether this is a restarted query; its first sub-requests earn no tokens for the extra_load_budget.
    /**
     * Sends a canary request (Dean and Barroso, 2013): the sub-request of one shard goes out first, and those of the other shards wait for its end, at
     * most for a few hedge delays. A request that crashes backend servers then reaches only one of them, or two if the crash is reported after the
     * canary was hedged.
     */
    bool canary = false;
    hedge_settings hedges;
};

/**
 * Returns the options of a query that is not a restart.
 *
 * @p callerDeadlineMs is 0 if the caller gave no deadline; a deadline longer than that of the service is shortened to it.
 */
query_options makeQueryOptions(const service_settings &settings, query_number number, std::uint32_t callerDeadlineMs, duration hedgeDelay);

} // namespace snipefall
