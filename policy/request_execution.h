#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/attempt_outcome.h"
#include "policy/backend_table.h"
#include "policy/execution_step.h"
#include "policy/request_route.h"
#include "policy/request_times.h"

namespace snipefall {

class backend_table;
class query_admission;
class return_schedule;
class route_latency_tracker;
class shared_retry_budget;

/**
 * State machine of one request: decides to which backend servers its sub-requests are sent and when, and which of their answers make up the result.
 *
 * A query has one part for each shard, any other request has a single part. The class does no input or output itself: each call returns an
 * execution_step with the sub-requests to send, and the driver reports how they ended.
 */
class request_execution
{
public:
    enum class run_mode
    {
        normal,
        trial, ///< The request may crash servers: only one server gets it until a server has answered it; see crash_trial_record.
    };

    /** @p services holds one service for each part. @p route, @p servers, @p budget and @p returns must outlive the execution. */
    request_execution(const request_route &route,
                      std::vector<service_id> services,
                      const request_times &times,
                      backend_table &servers,
                      shared_retry_budget &budget,
                      return_schedule &returns,
                      const route_latency_tracker &latencies,
                      query_admission &admission,
                      run_mode mode = run_mode::normal);

    /** Sends the first sub-request of each part, or ends the request immediately if too few parts have a reachable server. Called once. */
    execution_step start(time_point now);
    /** Records how sub-request @p id ended; a second report for the same sub-request is ignored. */
    execution_step subRequestEnded(std::size_t id, attempt_outcome outcome, time_point now);
    /** Performs what is due by @p now: retries, hedges and time-outs of attempts, and the end of the request. */
    execution_step tick(time_point now) { return advance(now); }
    /** Ids of the sub-requests whose end was not reported yet, abandoned ones included. */
    std::vector<std::size_t> inFlight() const;

private:
    struct attempt
    {
        std::size_t part = 0;
        backend_server_id server;
        time_point sentAt;
        bool ended = false; ///< Whether its end was reported.
        bool abandoned = false; ///< Whether it timed out before its end was reported.
        attempt_outcome outcome = attempt_outcome::timed_out;
    };
    struct part_state
    {
        service_id service;
        std::vector<std::size_t> attempts;
        std::size_t inFlight = 0;
        std::size_t answer = NONE; ///< Id of the attempt whose answer is used.
        std::size_t serverError = NONE; ///< Id of the last attempt that a server answered with a server error.
        unsigned refusals = 0; ///< Number of attempts that servers refused without running them.
        bool mayHaveRun = false; ///< Whether some server may have run an attempt.
        bool noFurtherAttempts = false; ///< Set when an attempt may have run and must not run twice, or when attempts, tokens or safe retries are used up.
        time_point nextAttemptAt{}; ///< Earliest time of the next attempt.
    };
    static constexpr std::size_t NONE = static_cast<std::size_t>(-1);

    execution_step advance(time_point now);
    void advancePart(std::size_t index, time_point now, execution_step &step);
    void abandonTimedOutAttempts(part_state &part, time_point now, execution_step &step);
    void sendFirst(std::size_t index, time_point now, execution_step &step);
    void sendRetry(std::size_t index, time_point now, execution_step &step);
    void sendHedge(std::size_t index, time_point now, execution_step &step);
    void send(std::size_t index, const backend_choice &server, time_point now, execution_step &step);
    std::vector<backend_server_id> triedServers(const part_state &part) const;
    std::vector<backend_server_id> serversThatMayHaveRun(const part_state &part) const;
    std::optional<backend_choice> chooseRetryServer(const part_state &part, time_point now);
    /** The latest time until which a part waits for a server to become available; its answer can still be in time then. */
    time_point latestSend(time_point now) const;
    /** The earliest time at which some server may get an attempt of the part; see backend_table::waitableAt(). */
    time_point serverWaitableAt(const part_state &part, time_point now) const;
    /** Delays the next attempt of a part for which no server could be chosen. */
    void postponeAttempt(part_state &part, time_point now);
    /** Whether the part has no answer and nothing in flight, and either gets no further attempt or has no server. */
    bool cannotBeAnswered(const part_state &part, time_point now) const;
    /** Whether connections of a query were lost and no server has answered yet, so that the query itself may crash the servers that run it. */
    bool mayCrashServers() const;
    /** Whether a trial has a sub-request in flight and no answer yet, so that it must not be sent to another server. */
    bool waitsForTrial() const;
    /**
     * Returns true if a retry of a query that may crash servers must not be sent now.
     *
     * Such a query is retried on one server at a time. Once the connection of a retry is lost as well, the part gets no further attempts,
     * unless an answer to another sub-request shows that the query is harmless.
     */
    bool holdRetry(part_state &part, time_point now);
    bool meetsMinCoverage(std::size_t answered) const;
    void finishIfDue(time_point now, execution_step &step);
    /** Reports the response time of a query to the admission once its answers are @p sufficient, or it is late. */
    void reportResponse(bool sufficient, time_point now);
    void finish(execution_result::kind outcome, std::string reason, execution_step &step);
    void finishWithAnswers(execution_step &step);
    /** Ends a request that no server has run; the caller may come back after @p delay. */
    void finishNotRun(std::string reason, duration delay, execution_step &step);
    /** The time after which enough servers are available. */
    duration retryAfter(time_point now) const;
    /** Whether this many answered parts make up a result. */
    bool isSufficient(std::size_t answered) const { return m_route.isQuery() ? meetsMinCoverage(answered) : answered > 0; }
    void finishWithoutAnswer(time_point now, execution_step &step);
    duration attemptTimeout() const;

    const request_route &m_route;
    request_times m_times;
    backend_table &m_servers;
    shared_retry_budget &m_budget;
    return_schedule &m_returns;
    query_admission &m_admission;
    run_mode m_mode;
    std::vector<part_state> m_parts;
    std::vector<attempt> m_attempts;
    duration m_medianLatency;
    duration m_hedgeDelay;
    std::optional<time_point> m_sufficientSince; ///< When the answers first sufficed for a result.
    time_point m_wakeAt;
    bool m_responseReported = false; ///< Whether the response time of the query was reported to the admission.
    bool m_anyAnswer = false; ///< Whether some server answered a sub-request, even with a server error.
    bool m_anyConnectionLost = false; ///< Whether the connection of some sub-request closed without an answer.
    bool m_retryConnectionLost = false; ///< Whether the same happened to a retry or hedge.
    bool m_finished = false;
};

} // namespace snipefall
