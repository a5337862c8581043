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
 * Records the sub-requests of one query over all its runs, for a caller who asked for the trace.
 *
 * The driver of a query_execution reports each event first, then the actions that the event led to. A query without a trace has no such object,
 * so that it costs nothing. Not thread-safe.
 */
class query_trace
{
public:
    /** Starts recording the next run; every run after the first one is a restart on a newer snapshot. */
    void beginRun(std::shared_ptr<const query_plan> plan);

    /** An answer arrived; @p merged tells whether query_execution::subAnswer() accepted it. */
    void answered(sub_request_id sub, bool merged, time_point now);
    void failed(sub_request_id sub, shard_failure kind, time_point now);
    /** The sub-request was not sent, for lack of a permit; it leaves the trace and is only counted. */
    void denied(sub_request_id sub);
    /** Records sends, cancels and the end. Sends that come with the end of the run are never carried out and not recorded. */
    void record(const query_actions &actions, time_point now);

    /** How often the query started again on a newer snapshot. */
    std::uint32_t restarts() const { return m_runs == 0 ? 0 : m_runs - 1; }
    /** How often a sub-request found no free slot. */
    std::uint64_t denials() const { return m_denials; }

    /**
     * The shards of the trace with at most @p maxEntries sub-requests; a shard without any counts as one.
     *
     * When there are more, missing shards are kept first, then shards with several sub-requests, then the slowest ones.
     */
    trace_summary summary(std::size_t maxEntries) const;

private:
    sub_request_trace *running(sub_request_id sub);
    void end(sub_request_trace &sub, sub_request_end end, time_point now);
    std::vector<shard_trace> byShard() const;

    std::shared_ptr<const query_plan> m_plan; ///< Of the last run.
    std::map<sub_request_id, sub_request_trace> m_subRequests; ///< Ids grow in the order of the sends, also from run to run.
    std::map<shard_index, std::uint32_t> m_inFlight; ///< Running sub-requests of the last run.
    std::vector<missing_shard> m_missing;
    std::uint32_t m_runs = 0;
    std::uint64_t m_denials = 0;
};

} // namespace snipefall
