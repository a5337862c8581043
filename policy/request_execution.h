#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/backend_table.h"
#include "policy/execution_step.h"
#include "policy/request_route.h"
#include "policy/request_times.h"
#include "policy/try_outcome.h"

namespace snipefall {

class backend_table;
class route_latency;
class shared_retry_budget;

/**
 * The course of one request: which backend servers get it and when, and what its answer is.
 *
 * A query has one part for each shard, any other request has a single part. A pure state machine: it returns what to send and is told how it ended.
 */
class request_execution
{
public:
    /** @p services has one service for each part. The route and the tables must outlive the execution. */
    request_execution(const request_route &route,
                      std::vector<service_id> services,
                      const request_times &times,
                      backend_table &servers,
                      shared_retry_budget &budget,
                      const route_latency &latencies);

    execution_step start(time_point now);
    execution_step subRequestEnded(std::size_t id, try_outcome outcome, time_point now);
    execution_step tick(time_point now) { return advance(now); }
    /** Sub-requests whose end is not known yet. */
    std::vector<std::size_t> inFlight() const;

private:
    struct attempt
    {
        std::size_t part = 0;
        backend_server_id server;
        time_point sentAt;
        bool ended = false;
        bool abandoned = false;
        try_outcome outcome = try_outcome::timed_out;
    };
    struct part_state
    {
        service_id service;
        std::vector<std::size_t> attempts;
        std::size_t inFlight = 0;
        std::size_t answer = NONE; ///< The attempt whose answer counts.
        std::size_t serverError = NONE; ///< The last attempt that the server answered with a failure.
        unsigned notRun = 0; ///< Attempts that servers refused.
        bool mayHaveRun = false;
        bool closed = false; ///< It gets no further attempt.
        time_point nextTry{};
    };
    static constexpr std::size_t NONE = static_cast<std::size_t>(-1);

    execution_step advance(time_point now);
    void advancePart(std::size_t index, time_point now, execution_step &step);
    void giveUpSilentAttempts(part_state &part, time_point now, execution_step &step);
    void sendFirst(std::size_t index, time_point now, execution_step &step);
    void sendAgain(std::size_t index, time_point now, execution_step &step);
    void sendHedge(std::size_t index, time_point now, execution_step &step);
    void send(std::size_t index, const backend_choice &server, time_point now, execution_step &step);
    std::vector<backend_server_id> triedServers(const part_state &part) const;
    std::vector<backend_server_id> serversThatMayRun(const part_state &part) const;
    std::optional<backend_choice> chooseAgain(const part_state &part, time_point now);
    bool hopeless(const part_state &part, time_point now) const;
    bool mayCrashServers() const;
    bool holdBack(part_state &part, time_point now);
    bool enough(std::size_t answered) const;
    void finishIfDue(time_point now, execution_step &step);
    void finish(execution_result::kind outcome, std::string reason, execution_step &step);
    void finishWithAnswers(execution_step &step);
    void finishWithout(time_point now, execution_step &step);
    duration attemptTimeout() const;

    const request_route &m_route;
    request_times m_times;
    backend_table &m_servers;
    shared_retry_budget &m_budget;
    std::vector<part_state> m_parts;
    std::vector<attempt> m_attempts;
    duration m_usualLatency;
    duration m_hedgeDelay;
    std::optional<time_point> m_enoughSince; ///< When the least coverage was reached.
    time_point m_wakeAt;
    bool m_anyAnswer = false; ///< Some server answered a sub-request, be it with a failure.
    bool m_anyLost = false; ///< The connection of some sub-request ended without an answer.
    bool m_repeatLost = false; ///< That of a repeated one, too.
    bool m_finished = false;
};

} // namespace snipefall
