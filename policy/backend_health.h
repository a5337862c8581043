#pragma once

#include <cstddef>
#include <vector>

#include "core/clock.h"
#include "policy/try_outcome.h"

namespace snipefall {

/** What this node learned about one backend server from the answers to its own sub-requests. */
class backend_health
{
public:
    void sent(time_point now);
    /**
     * Notes the end of a sub-request that was sent at @p sentAt.
     *
     * @p relativeLatency is its latency divided by the usual one of its route; it counts only for answers.
     */
    void ended(time_point sentAt, time_point now, try_outcome outcome, double relativeLatency);

    /** Relative time until an answer is to be expected: 1 for an idle server of the usual speed. */
    double cost(time_point now, unsigned slots, duration usualLatency) const;
    /** True while the server is not to be used because it failed repeatedly or could not be reached. */
    bool suspended(time_point now) const { return now < m_suspendedUntil; }
    time_point suspendedUntil() const { return m_suspendedUntil; }
    /** True while it is suspended because no connection could be set up. */
    bool unreachable(time_point now) const { return m_unreachable && suspended(now); }
    std::size_t inFlight() const { return m_inFlight.size(); }
    /** Forgets what was learned; sub-requests in flight are kept. */
    void reset();

private:
    double remembered(time_point now) const;
    void suspend(time_point now);

    std::vector<time_point> m_inFlight; ///< Send times, oldest first.
    double m_relativeLatency = 1.0;
    double m_failureShare = 0.0;
    time_point m_updated{};
    time_point m_suspendedUntil{};
    unsigned m_failuresInRow = 0;
    bool m_unreachable = false; ///< The last sub-request found no connection.
};

} // namespace snipefall
