#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/clock.h"
#include "policy/canary_limits.h"
#include "policy/move_decision.h"
#include "policy/move_observations.h"

namespace snipefall {

/**
 * Schedule and decisions of a move with a fixed time limit, after which the old version's servers stop.
 *
 * The target version gets a small share of the requests until shortly before the limit, so that a version that becomes faulty late affects few of them. It
 * then gets all requests for a short time, which reveals faults under full load, and the move is finished. A fault found at any time rolls the move back. The
 * object holds only the schedule and the limits, so several nodes may drive the same move at the same time.
 */
class timed_move_controller
{
public:
    enum class phase
    {
        canary, ///< The target version gets a small share of the requests.
        full, ///< All requests go to the target version.
        finishing, ///< All requests go to the target version, and the move is due to be finished or rolled back.
        overdue, ///< The time limit has passed without a recorded end; the old version serves all requests.
    };

    struct decision
    {
        move_action action = move_action::none; ///< none, finish or roll_back.
        bool targetAtFault = false; ///< All nodes must immediately stop sending requests to the target version.
        std::string reason;
    };

    /** @p limits are the limits for this node alone, a part of those for all nodes together. */
    timed_move_controller(time_point orderedAt, duration timeLimit, const canary_limits &limits);

    phase phaseAt(time_point now) const;
    /** The end of the full phase. */
    time_point finishAt() const { return m_finishAt; }
    /** The target version's share of this node's requests, from 0 to 1; @p answers is the number of answers of both versions that this node has received. */
    double shareAt(std::uint64_t answers, time_point now) const;
    /** @p observations cover all nodes since the move was ordered; @p targetServers is the number of live servers of the target version. */
    decision decide(const move_observations &observations, std::size_t targetServers, time_point now) const;

private:
    time_point m_orderedAt;
    time_point m_fullAt;
    time_point m_finishAt;
    time_point m_deadline;
    canary_limits m_limits;
};

constexpr const char *toString(timed_move_controller::phase phase)
{
    constexpr const char *NAMES[] = {"canary", "full", "finishing", "overdue"};
    return NAMES[static_cast<int>(phase)];
}

} // namespace snipefall
