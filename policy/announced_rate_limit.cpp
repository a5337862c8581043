#include "policy/announced_rate_limit.h"

#include <algorithm>

namespace snipefall {

namespace {

/** A server that names less, or nothing at all, still gets this rate, or the nodes would never learn that its limit has ended. */
constexpr double MIN_REQUESTS_PER_SECOND = 0.25;
/** Fraction of the rate that is used. The rest covers nodes whose slots coincide by chance. */
constexpr double USED_FRACTION = 0.9;
/**
 * A slot is valid for MIN_VALIDITY_S and the time in which the server takes VALID_REQUESTS, so all nodes together never save up more than the server takes in
 * MIN_VALIDITY_S, plus VALID_REQUESTS. The platform tolerates what the server takes in 2 s, plus 5 requests, above the rate in 4 s.
 */
constexpr double VALID_REQUESTS = 2;
constexpr double MIN_VALIDITY_S = 1.5;

} // namespace

void announced_rate_limit::set(double requestsPerSecond, std::size_t nodes, double phase, time_point now)
{
    m_requestsPerSecond = std::max(requestsPerSecond, MIN_REQUESTS_PER_SECOND);
    m_nodes = nodes;
    updateInterval();
    if (!m_active) {
        m_active = true;
        m_slotStart = now + std::chrono::duration_cast<duration>(phase * m_interval);
    }
}

void announced_rate_limit::setNodeCount(std::size_t nodes)
{
    if (m_active && nodes != m_nodes) {
        m_nodes = nodes;
        updateInterval();
    }
}

void announced_rate_limit::updateInterval()
{
    const std::chrono::duration<double> interval(static_cast<double>(m_nodes) / (USED_FRACTION * m_requestsPerSecond));
    const std::chrono::duration<double> validity(MIN_VALIDITY_S + VALID_REQUESTS / m_requestsPerSecond);
    m_interval = std::max(std::chrono::duration_cast<duration>(interval), duration(1));
    m_validity = std::chrono::duration_cast<duration>(validity);
}

time_point announced_rate_limit::nextSlot(time_point now) const
{
    const duration overdue = now - m_validity - m_slotStart;
    return overdue < duration::zero() ? m_slotStart : m_slotStart + (overdue / m_interval + 1) * m_interval;
}

time_point announced_rate_limit::availableAt(time_point now) const
{
    return m_active ? std::max(now, nextSlot(now)) : now;
}

void announced_rate_limit::take(time_point now)
{
    if (m_active) {
        m_slotStart = nextSlot(now) + m_interval;
    }
}

} // namespace snipefall
