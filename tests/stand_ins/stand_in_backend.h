#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>

#include "core/clock.h"
#include "core/json.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "http/http_server.h"
#include "tests/stand_ins/backend_switches.h"
#include "tests/stand_ins/connection_registry.h"
#include "tests/stand_ins/execution_log.h"
#include "tests/stand_ins/slot_limiter.h"
#include "tests/stand_ins/stand_in_backend_options.h"

namespace snipefall {

/** Fake backend server for tests: serves generated shard results and injects the faults that PUT /control sets. */
class stand_in_backend
{
public:
    explicit stand_in_backend(stand_in_backend_options options);
    ~stand_in_backend();
    stand_in_backend(const stand_in_backend &) = delete;
    stand_in_backend &operator=(const stand_in_backend &) = delete;

    /** Starts the HTTP server. Returns an empty string, or the reason why listening on the address failed. */
    std::string start();
    /** Wakes requests that wait for a slot, a delay or the end of a freeze, then stops the HTTP server. */
    void stop();

    std::string address() const { return m_options.host + ":" + std::to_string(m_options.port); }
    /** Applies the body of PUT /control. Returns an empty string, or the reason why the body was rejected; the switches are then unchanged. */
    std::string control(const json &switches);
    /** Returns the body of GET /control: switches, request counters and executed requests. */
    json state() const;
    http_response handle(const http_request &request);

private:
    struct snapshot
    {
        std::uint32_t shardsTotal = 0;
        std::set<std::uint32_t> held;
    };
    // The faults injected into one request, drawn from the switches when the request arrives.
    struct fault_plan
    {
        backend_switches switches;
        long delayMs = 0;
        bool failsWithError = false;
        bool isShed = false;
        bool returnsWrongSubId = false;
    };

    http_response handleBackendRequest(const http_request &request);
    http_response handleQuery(const json &body, const std::string &path);
    http_response handleExecute(const json &body, const std::string &path);
    http_response handleCancel(const json &body);
    http_response runQuery(const json &body, const fault_plan &plan);
    http_response status() const;
    http_response waitWithoutResponse(const connection_registry::connection &peer);
    /** Returns a response with an empty body if this server holds the requested shard, else an error response with status 400, 404 or 409. */
    http_response checkShard(const json &body) const;
    fault_plan planFaults(const std::string &path);
    /**
     * Occupies a slot for the planned latency and runs @p work in it. With an empty @p cancelKey (non-idempotent requests) the work runs before
     * the latency elapses, otherwise after it. Error responses state in "ran" whether the request ran.
     */
    template <typename Work>
    http_response runInSlot(const fault_plan &plan, long deadlineMs, const std::string &cancelKey, Work work);
    std::string applySnapshots(const json &switches);
    bool drawWithProbability(double probability);

    stand_in_backend_options m_options;
    slot_limiter m_slotLimiter;
    connection_registry m_connections;
    execution_log m_executions;
    mutable std::mutex m_mutex;
    std::condition_variable m_stateChanged;
    backend_switches m_switches;
    time_point m_badModeSetAt;
    std::map<std::string, snapshot> m_snapshots;
    std::map<std::string, std::uint64_t> m_requestCounts; ///< Number of requests by path, and by outcome (shed, cancelled, unanswered, refused_connections).
    std::set<std::string> m_runningIds;
    std::set<std::string> m_cancelledIds;
    json m_lastSubId;
    std::size_t m_maxConnections = 0;
    std::uint64_t m_startedMs;
    std::mt19937_64 m_randomEngine;
    bool m_stopping = false;
    std::unique_ptr<http_server> m_server;
};

} // namespace snipefall
