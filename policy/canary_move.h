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
 * The course of a move that has one time limit, after which the old version's servers stop.
 *
 * The target version gets a small share of the requests until shortly before the limit, so that a version that turns bad late harms few of them. Then it gets
 * all of them for a moment, which shows faults under load, and the move is finished. A fault at any time rolls it back. Stateless but for its start: any node
 * may drive any move, at the same time as others.
 */
class canary_move
{
public:
    enum class phase
    {
        canary,
        full, ///< All requests go to the target version.
        finishing, ///< As full, and the end of the move is due.
        overdue, ///< The time is over without a recorded end; the old version serves.
    };

    struct decision
    {
        move_action action = move_action::none; ///< none, finish or roll_back.
        bool targetAtFault = false; ///< The target version is to get nothing more, on all nodes and at once.
        std::string reason;
    };

    /** @p limits are this node's part of those for all nodes. */
    canary_move(time_point orderedAt, duration timeLimit, const canary_limits &limits);

    phase phaseAt(time_point now) const;
    /** The target's share of this node's requests, from 0 to 1; @p answers is the number of answers of both versions that this node saw so far. */
    double shareAt(std::uint64_t answers, time_point now) const;
    /** @p observations of all nodes since the order; @p targetServers is the number of live servers of the target version. */
    decision decide(const move_observations &observations, std::size_t targetServers, time_point now) const;

private:
    time_point m_orderedAt;
    time_point m_fullAt;
    time_point m_finishAt;
    time_point m_deadline;
    canary_limits m_limits;
};

} // namespace snipefall
