#pragma once

#include <cstddef>
#include <vector>

#include "core/clock.h"
#include "policy/attempt_outcome.h"

namespace snipefall {

/** Passive health and latency statistics of one backend server, derived from the results of this node's own sub-requests. */
class backend_health
{
public:
    /** Records that a sub-request was sent. */
    void sent(time_point now);
    /**
     * Records the result of a sub-request that was sent at @p sentAt.
     *
     * @p relativeLatency is its latency divided by the median latency of its route; it is ignored unless the server answered.
     */
    void ended(time_point sentAt, time_point now, attempt_outcome outcome, double relativeLatency);

    /**
     * Expected response time in multiples of the median latency, with surcharges for failures and stalls: 1 for an idle server with median latency.
     *
     * @p slots is the number of requests that the server processes concurrently.
     */
    double cost(time_point now, unsigned slots, duration medianLatency) const;
    /** True while the server is avoided because it failed repeatedly or could not be reached. */
    bool suspended(time_point now) const { return now < m_suspendedUntil; }
    time_point suspendedUntil() const { return m_suspendedUntil; }
    /** True while the server is suspended because no connection to it could be established. */
    bool unreachable(time_point now) const { return m_unreachable && suspended(now); }
    std::size_t inFlight() const { return m_inFlight.size(); }
    /** Resets the statistics and ends a suspension; sub-requests in flight are kept. */
    void reset();

private:
    /** Factor by which the statistics have decayed since the last sample, from 0 to 1. */
    double decayFactor(time_point now) const;
    void suspend(time_point now);

    std::vector<time_point> m_inFlight; ///< Send times, oldest first.
    double m_relativeLatency = 1.0; ///< Moving average of the latency relative to the median.
    double m_failureShare = 0.0; ///< Moving average of the share of failed sub-requests.
    time_point m_updated{}; ///< Time of the last sample.
    time_point m_suspendedUntil{};
    unsigned m_consecutiveFailures = 0;
    bool m_unreachable = false; ///< No connection could be established for the last sub-request.
};

} // namespace snipefall
