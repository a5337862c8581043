#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "node/query_result.h"
#include "node/sub_request_owner.h"
#include "policy/planned_query.h"
#include "policy/query_actions.h"
#include "policy/query_execution.h"
#include "policy/query_trace.h"
#include "policy/request_fingerprint.h"

namespace snipefall {

struct query_environment;
struct service_runtime;

/** Input of a query_runner: the query, its plan and its options. */
struct query_task
{
    service_id service;
    version_id version;
    request_id request;
    std::string subRequestIdPrefix; ///< Prefix that makes sub-request ids unique among all nodes.
    std::string route; ///< Kind of query; a move compares the versions for each kind separately.
    std::string query; ///< JSON text of the query, sent to the backend servers unchanged.
    planned_query planned;
    query_options options;
    request_fingerprint fingerprint;
    duration versionMedianLatency{}; ///< Median latency of the version's sub-requests; 0 while it is unknown.
    std::shared_ptr<query_trace> trace; ///< Empty unless the caller requested a trace; shared by all runs of the query.
    std::function<bool(const snapshot_id &)> newerSnapshotExists; ///< Returns whether the query can be restarted on a snapshot newer than the given one.
};

/** Drives one query_execution: performs the actions that it returns and passes it the responses, free slots and timer events. */
class query_runner : public sub_request_owner, public std::enable_shared_from_this<query_runner>
{
public:
    query_runner(query_task task, service_runtime &runtime, query_environment &environment);

    /** Runs the query and blocks until it has ended. */
    query_result run();

    sub_request makeRequest(sub_request_id subRequestId) override;
    sub_request makeCancel(sub_request_id subRequestId) override;
    bool onSlotFree(const backend_server_id &server) override;
    duration versionMedianLatency() const override { return m_task.versionMedianLatency; }
    void onCompleted(sub_request_id subRequestId, const sub_response &response) override;

private:
    struct sub_target
    {
        shard_index shard;
        server_index server;
        time_point deadline;
    };

    void onTick();
    /** Performs the actions of one event. Called with the runtime's mutex held by @p lock, which it releases. Returns whether a sub-request was started. */
    bool apply(query_actions &actions, std::unique_lock<std::mutex> &lock);
    /** Starts sub-requests. If a server has no free slot, the execution may choose another server. Returns whether a sub-request was started. */
    bool startSends(const std::vector<send_action> &sends);
    sub_target targetOf(sub_request_id subRequestId) const;
    void finish(query_result result);
    void scheduleTick(time_point when);
    std::string subRequestName(sub_request_id subRequestId) const;
    /** Reports the outcome of a sub-request to the crash detection, the quarantine and the move of the service. */
    void reportOutcome(sub_request_id subRequestId, const sub_response &response, bool answered);
    void recordLatency(duration latency, time_point now);

    const query_task m_task;
    service_runtime &m_runtime;
    query_environment &m_environment;
    query_execution m_execution; ///< Guarded by the runtime's mutex.
    /** Guarded by the runtime's mutex. Empty if no trace was requested, and after the end of the execution, when the creator of the task reads the trace. */
    std::shared_ptr<query_trace> m_trace;
    const std::string m_bodyPrefix; ///< Start of the request body, up to the shard number; identical for all sub-requests.
    std::unordered_map<sub_request_id, sub_target> m_targets; ///< Guarded by the runtime's mutex.
    time_point m_scheduledTick = time_point::max(); ///< Guarded by the runtime's mutex.
    std::mutex m_resultMutex;
    std::condition_variable m_ended;
    std::optional<query_result> m_result; ///< Guarded by m_resultMutex.
    std::uint64_t m_firstSends = 0; ///< Guarded by the runtime's mutex.
    std::uint64_t m_extraSends = 0; ///< Guarded by the runtime's mutex.
};

} // namespace snipefall
