#include "policy/backend_health.h"

#include <algorithm>
#include <cmath>

namespace snipefall {

namespace {

/** Weight of a new sample: about five samples make an estimate. */
constexpr double SAMPLE_WEIGHT = 0.2;
/** Largest relative latency of one sample, so that a single pause of a server does not outweigh its other answers. */
constexpr double MAX_SAMPLE = 8.0;
/** After this time without samples half of what was learned is forgotten, so that a server that recovered gets requests again. */
constexpr double HALF_LIFE_S = 4.0;
/** A server whose oldest sub-request is this many usual latencies old is taken for paused. */
constexpr int STALLED_LATENCIES = 3;
/** Cost of a paused server; above that of a busy one. */
constexpr double STALLED_COST = 10.0;
/** A server that fails all requests costs this many times more. */
constexpr double FAILURE_COST = 12.0;
/** A single failure may be chance; the second in a row suspends the server. */
constexpr unsigned FAILURES_TO_SUSPEND = 2;
constexpr duration FIRST_SUSPENSION = std::chrono::milliseconds(250);
/** Bounds the time after its return in which a server gets nothing. */
constexpr duration LONGEST_SUSPENSION = std::chrono::seconds(2);

} // namespace

void backend_health::sent(time_point now)
{
    m_inFlight.push_back(now);
}

void backend_health::ended(time_point sentAt, time_point now, try_outcome outcome, double relativeLatency)
{
    const auto found = std::find(m_inFlight.begin(), m_inFlight.end(), sentAt);
    if (found != m_inFlight.end()) {
        m_inFlight.erase(found);
    }
    const double kept = remembered(now);
    m_relativeLatency = 1.0 + (m_relativeLatency - 1.0) * kept;
    m_failureShare *= kept;
    m_updated = now;
    const bool failed = outcome != try_outcome::answered;
    m_unreachable = outcome == try_outcome::unreachable;
    m_failureShare += SAMPLE_WEIGHT * ((failed ? 1.0 : 0.0) - m_failureShare);
    if (!failed) {
        m_relativeLatency += SAMPLE_WEIGHT * (std::min(relativeLatency, MAX_SAMPLE) - m_relativeLatency);
        m_failuresInRow = 0;
        m_suspendedUntil = time_point{};
        return;
    }
    if (outcome == try_outcome::not_run) {
        return; // A full server is no broken one; its failure share keeps requests away for a while.
    }
    ++m_failuresInRow;
    if (outcome == try_outcome::unreachable || m_failuresInRow >= FAILURES_TO_SUSPEND) {
        suspend(now);
    }
}

void backend_health::suspend(time_point now)
{
    const unsigned doublings = std::min(m_failuresInRow > 0 ? m_failuresInRow - 1 : 0U, 4U);
    m_suspendedUntil = now + std::min<duration>(FIRST_SUSPENSION * (1U << doublings), LONGEST_SUSPENSION);
}

double backend_health::remembered(time_point now) const
{
    const double passed = std::chrono::duration<double>(now - m_updated).count();
    return std::exp2(-std::max(passed, 0.0) / HALF_LIFE_S);
}

double backend_health::cost(time_point now, unsigned slots, duration usualLatency) const
{
    const double kept = remembered(now);
    const double latency = 1.0 + (m_relativeLatency - 1.0) * kept;
    const double failures = m_failureShare * kept;
    double result = latency * (1.0 + FAILURE_COST * failures) * (1.0 + static_cast<double>(m_inFlight.size()) / std::max(slots, 1U));
    if (!m_inFlight.empty() && now - m_inFlight.front() > STALLED_LATENCIES * usualLatency) {
        result += STALLED_COST;
    }
    return result;
}

void backend_health::reset()
{
    m_relativeLatency = 1.0;
    m_failureShare = 0.0;
    m_failuresInRow = 0;
    m_suspendedUntil = time_point{};
    m_unreachable = false;
}

} // namespace snipefall
