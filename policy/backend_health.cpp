#include "policy/backend_health.h"

#include <algorithm>
#include <cmath>

namespace snipefall {

namespace {

/** Weight of a new sample in the moving averages, which thus cover about five samples. */
constexpr double SAMPLE_WEIGHT = 0.2;
/** Upper limit of the relative latency of one sample, so that a single pause of a server does not outweigh its other answers. */
constexpr double MAX_RELATIVE_LATENCY = 8.0;
/** Half-life of the statistics while there are no samples, so that a server that has recovered gets requests again. */
constexpr double HALF_LIFE_S = 4.0;
/** A server counts as stalled when its oldest sub-request has been in flight for this many median latencies. */
constexpr int STALLED_MEDIAN_LATENCIES = 3;
/** Added to the cost of a stalled server, so that it exceeds the cost of a busy one. */
constexpr double STALLED_COST = 10.0;
/** Weight of the failure share: a server that fails all requests costs 1 + FAILURE_COST times as much. */
constexpr double FAILURE_COST = 12.0;
/** Consecutive failures that suspend a server; a single failure may be chance. */
constexpr unsigned FAILURES_TO_SUSPEND = 2;
/** Doubles with each further consecutive failure. */
constexpr duration INITIAL_SUSPENSION = std::chrono::milliseconds(250);
/** Limits how long a server that has recovered stays without requests. */
constexpr duration MAX_SUSPENSION = std::chrono::seconds(2);

} // namespace

void backend_health::sent(time_point now)
{
    m_inFlight.push_back(now);
}

void backend_health::ended(time_point sentAt, time_point now, attempt_outcome outcome, double relativeLatency)
{
    const auto found = std::find(m_inFlight.begin(), m_inFlight.end(), sentAt);
    if (found != m_inFlight.end()) {
        m_inFlight.erase(found);
    }
    const double decay = decayFactor(now);
    m_relativeLatency = 1.0 + (m_relativeLatency - 1.0) * decay;
    m_failureShare *= decay;
    m_updated = now;
    const bool failed = outcome != attempt_outcome::answered;
    m_unreachable = outcome == attempt_outcome::unreachable;
    m_failureShare += SAMPLE_WEIGHT * ((failed ? 1.0 : 0.0) - m_failureShare);
    if (!failed) {
        m_relativeLatency += SAMPLE_WEIGHT * (std::min(relativeLatency, MAX_RELATIVE_LATENCY) - m_relativeLatency);
        m_consecutiveFailures = 0;
        m_suspendedUntil = time_point{};
        return;
    }
    if (outcome == attempt_outcome::not_run) {
        return; // An overloaded server is not faulty, so it is not suspended; the failure share already diverts requests from it for a while.
    }
    ++m_consecutiveFailures;
    if (outcome == attempt_outcome::unreachable || m_consecutiveFailures >= FAILURES_TO_SUSPEND) {
        suspend(now);
    }
}

void backend_health::suspend(time_point now)
{
    const unsigned doublings = std::min(m_consecutiveFailures > 0 ? m_consecutiveFailures - 1 : 0U, 4U);
    m_suspendedUntil = now + std::min<duration>(INITIAL_SUSPENSION * (1U << doublings), MAX_SUSPENSION);
}

double backend_health::decayFactor(time_point now) const
{
    const double elapsedS = std::chrono::duration<double>(now - m_updated).count();
    return std::exp2(-std::max(elapsedS, 0.0) / HALF_LIFE_S);
}

double backend_health::cost(time_point now, unsigned slots, duration medianLatency) const
{
    const double decay = decayFactor(now);
    const double latency = 1.0 + (m_relativeLatency - 1.0) * decay;
    const double failures = m_failureShare * decay;
    double result = latency * (1.0 + FAILURE_COST * failures) * (1.0 + static_cast<double>(m_inFlight.size()) / std::max(slots, 1U));
    if (!m_inFlight.empty() && now - m_inFlight.front() > STALLED_MEDIAN_LATENCIES * medianLatency) {
        result += STALLED_COST;
    }
    return result;
}

void backend_health::reset()
{
    m_relativeLatency = 1.0;
    m_failureShare = 0.0;
    m_consecutiveFailures = 0;
    m_suspendedUntil = time_point{};
    m_unreachable = false;
}

} // namespace snipefall
