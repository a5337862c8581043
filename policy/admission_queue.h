#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>

#include "core/ids.h"
#include "policy/admission_dispatch.h"
#include "policy/admission_result.h"
#include "policy/queued_query.h"
#include "policy/service_time_estimate.h"

namespace snipefall {

/** Number of callers above which the service time estimate and deficit of a caller are dropped as soon as it has no waiting query. */
constexpr std::size_t MAX_REMEMBERED_CALLERS = 1024;

/**
 * The queries of one service that wait for permits on this node.
 *
 * A query is refused before any work is done for it when its deadline can't be met or when the queue is full. Permits are divided among the callers with
 * waiting queries by deficit round robin, where the cost of a query is its expected service time.
 */
class admission_queue
{
public:
    /** @p maxQueued is the largest number of waiting queries; @p firstServiceTime is the initial estimate of the service time. */
    admission_queue(std::size_t maxQueued, duration firstServiceTime);

    /** Queues @p query or refuses it. @p permits is the number of queries that may run at the same time; with 0 permits every query is refused. */
    admission_result offer(const queued_query &query, std::uint32_t permits, time_point now);
    /** Removes the next query to start from the queue. To be called when a permit is free; call finished() when the started query has ended. */
    admission_dispatch next(time_point now);
    /** Records that a started query of @p caller has ended after @p serviceTime, and releases its permit. */
    void finished(const caller_id &caller, duration serviceTime);
    /** Removes a waiting query whose caller has disconnected or cancelled it. Returns false if no query with this id is waiting. */
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

    /** Estimated time until a new query of @p caller would start. */
    duration expectedWait(const caller_id &caller, std::uint32_t permits) const;
    /**
     * Removes the newest query of the caller with the most waiting queries to make room for a query of @p newcomer.
     *
     * Returns nothing if that caller would then have fewer waiting queries than @p newcomer, counting the new query.
     */
    std::optional<queued_query> displace(const caller_id &newcomer);
    /** Removes a caller without waiting queries from the round robin. */
    void leaveRound(caller_map::iterator caller);
    /** Advances the round robin to the next caller with a positive deficit counter and returns it. The round must not be empty. */
    caller_map::iterator advanceRound();

    std::size_t m_maxQueued;
    service_time_estimate m_serviceTime;
    caller_map m_callers;
    std::list<caller_map::iterator> m_round; ///< Callers with waiting queries in round-robin order; the front is served next.
    std::size_t m_quantaLeft = 0; ///< Callers that have not received their quantum in this round.
    double m_quantumUs = 0.0; ///< Service time that each caller may use per round.
    std::size_t m_waiting = 0;
    std::uint32_t m_running = 0;
};

} // namespace snipefall
