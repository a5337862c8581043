#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/query_actions.h"
#include "policy/query_plan.h"
#include "policy/shard_failure.h"
#include "policy/sub_request_trace.h"
#include "policy/trace_summary.h"

namespace snipefall {

/**
 * Records the sub-requests of one query, including its restarts, for a caller that requested a trace.
 *
 * The driver of a query_execution reports each event first, then the actions that resulted from it. No object is created for a query without a
 * trace, so that such a query has no overhead. Not thread-safe.
 */
class query_trace
{
public:
    /** Starts recording the next run of the query on @p plan; every run after the first one is a restart. */
    void beginRun(std::shared_ptr<const query_plan> plan);

    /** Records an answer; @p merged tells whether query_execution::subRequestAnswered() accepted it. */
    void answered(sub_request_id sub, bool merged, time_point now);
    /** Records that a sub-request failed. */
    void failed(sub_request_id sub, shard_failure kind, time_point now);
    /** Records that the sub-request was not sent because no permit was available; removes it from the trace and only counts it. */
    void denied(sub_request_id sub);
    /** Records sends, cancellations and the end of the query. Sends in the same actions as the end of a run are never performed, so they are not recorded. */
    void record(const query_actions &actions, time_point now);

    /** Number of times that the query was restarted. */
    std::uint32_t restarts() const { return m_runs == 0 ? 0 : m_runs - 1; }
    /** Number of sub-requests that were denied a permit. */
    std::uint64_t denials() const { return m_denials; }

    /**
     * Returns the shards of the trace, limited to @p maxEntries sub-requests; a shard without sub-requests counts as one.
     *
     * If the limit is exceeded, missing shards take precedence, then shards with several sub-requests, then the slowest shards.
     */
    trace_summary summary(std::size_t maxEntries) const;

private:
    /** Returns the entry of a sub-request in flight; null if it is unknown or has ended. */
    sub_request_trace *findRunning(sub_request_id sub);
    void end(sub_request_trace &sub, sub_request_end end, time_point now);
    std::vector<shard_trace> byShard() const;

    std::shared_ptr<const query_plan> m_plan; ///< Plan of the last run.
    std::map<sub_request_id, sub_request_trace> m_subRequests; ///< Ordered by send time, since ids increase with each send, also across runs.
    std::map<shard_index, std::uint32_t> m_inFlight; ///< Number of sub-requests in flight in the last run.
    std::vector<missing_shard> m_missing;
    std::uint32_t m_runs = 0;
    std::uint64_t m_denials = 0;
};

} // namespace snipefall
