#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>

#include "core/ids.h"
#include "policy/admission_next.h"
#include "policy/admission_result.h"
#include "policy/queued_query.h"
#include "policy/service_time_estimate.h"

namespace snipefall {

/** Callers whose costs are remembered while they have no query waiting. */
constexpr std::size_t MAX_REMEMBERED_CALLERS = 1024;

/**
 * The queries of one service that wait for permits on this node.
 *
 * A query is refused as not run, before any work, when its deadline can't be met or when the queue is full. Waiting callers share the permits by
 * deficit round robin over the service time that their queries take.
 */
class admission_queue
{
public:
    /** @p firstServiceTime is assumed until queries have finished. */
    admission_queue(std::size_t maxQueued, duration firstServiceTime);

    /** @p permits is the number of queries that may run at the same time; with 0 everything is refused. */
    admission_result offer(const queued_query &query, std::uint32_t permits, time_point now);
    /** Takes the next query to start. Call it when a permit is free, and finished() when the query has ended. */
    admission_next next(time_point now);
    void finished(const caller_id &caller, duration serviceTime);
    /** Removes a query whose caller has gone; false when it is not waiting. */
    bool cancel(std::uint64_t id);

    std::size_t waiting() const { return m_waiting; }
    std::uint32_t running() const { return m_running; }

private:
    struct caller_state
    {
        std::deque<queued_query> queue;
        service_time_estimate cost;
        double deficitUs = 0.0;

        double waitingUs() const { return static_cast<double>(queue.size()) * cost.meanUs(); }
    };

    using caller_map = std::map<caller_id, caller_state>;

    duration expectedWait(const caller_id &caller, std::uint32_t permits) const;
    std::optional<queued_query> displace(const caller_id &newcomer);
    void leaveRound(caller_map::iterator caller);
    /** Moves the round on until the caller in front may start a query; the round must not be empty. */
    caller_map::iterator turn();

    std::size_t m_maxQueued;
    service_time_estimate m_serviceTime;
    caller_map m_callers;
    std::list<caller_map::iterator> m_round; ///< Callers with waiting queries; the one in front has the turn.
    std::size_t m_turnsLeft = 0; ///< Callers that have not had their quantum in this round.
    double m_quantumUs = 0.0;
    std::size_t m_waiting = 0;
    std::uint32_t m_running = 0;
};

} // namespace snipefall
