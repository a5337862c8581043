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
#include "tests/stand_ins/slot_gate.h"
#include "tests/stand_ins/stand_in_backend_options.h"

namespace snipefall {

/** A backend server that answers from made-up shards, with switches for its faults at PUT /control. */
class stand_in_backend
{
public:
    explicit stand_in_backend(stand_in_backend_options options);
    ~stand_in_backend();
    stand_in_backend(const stand_in_backend &) = delete;
    stand_in_backend &operator=(const stand_in_backend &) = delete;

    /** Returns an empty string, or the reason why the address can't be listened on. */
    std::string start();
    /** Ends waiting and frozen requests, then the server. */
    void stop();

    std::string address() const { return m_options.host + ":" + std::to_string(m_options.port); }
    /** Applies the switches of PUT /control; returns the reason why they are refused, or an empty string. */
    std::string control(const json &switches);
    /** The body of GET /control. */
    json state() const;
    http_response handle(const http_request &request);

private:
    struct snapshot
    {
        std::uint32_t shardsTotal = 0;
        std::set<std::uint32_t> held;
    };
    // The effects of the switches on one request.
    struct fault_plan
    {
        backend_switches switches;
        long delayMs = 0;
        bool fails = false;
        bool sheds = false;
        bool crosses = false;
    };

    http_response handleWork(const http_request &request);
    http_response handleQuery(const json &body, const std::string &path);
    http_response handleExecute(const json &body, const std::string &path);
    http_response handleCancel(const json &body);
    http_response runQuery(const json &body, const fault_plan &plan);
    http_response status() const;
    http_response waitWithoutAnswer(const connection_registry::connection &peer);
    /** An empty body when the shard is held, else a 400 or 409. */
    http_response checkShard(const json &body) const;
    fault_plan planFaults(const std::string &path);
    /** Runs @p work in a slot for the planned time; a refusal says whether the work ran. */
    template <typename Work>
    http_response runInSlot(const fault_plan &plan, long deadlineMs, const std::string &cancelKey, Work work);
    std::string applySnapshots(const json &switches);
    bool chance(double probability);

    stand_in_backend_options m_options;
    slot_gate m_gate;
    connection_registry m_connections;
    execution_log m_executions;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    backend_switches m_switches;
    time_point m_badSince;
    std::map<std::string, snapshot> m_snapshots;
    std::map<std::string, std::uint64_t> m_counts; ///< Requests by kind and by outcome.
    std::set<std::string> m_runningIds;
    std::set<std::string> m_cancelled;
    json m_lastSubId;
    std::size_t m_maxConnections = 0;
    std::uint64_t m_startedMs;
    std::mt19937_64 m_random;
    bool m_stopping = false;
    std::unique_ptr<http_server> m_server;
};

} // namespace snipefall
