#include "policy/server_run_state.h"

#include <algorithm>

#include "policy/server_announcement.h"

namespace snipefall {

bool server_run_state::apply(const server_announcement &announced, time_point sentAt, std::size_t nodes, double phase, time_point now)
{
    const bool leavesNow = announced.leaving && !m_leaving;
    const bool pausesNow = announced.pause && !isPaused(now);
    m_leaving = m_leaving || announced.leaving;
    if (announced.pause) {
        m_pausedUntil = std::max(m_pausedUntil, now + *announced.pause);
    }
    const bool limitChanges = applyLimit(announced, sentAt, nodes, phase, now);
    return leavesNow || pausesNow || limitChanges;
}

bool server_run_state::applyLimit(const server_announcement &announced, time_point sentAt, std::size_t nodes, double phase, time_point now)
{
    const bool wasLimited = m_limit.isActive();
    if (announced.requestsPerSecond) {
        const double before = m_limit.requestsPerSecond();
        m_limit.set(*announced.requestsPerSecond, nodes, phase, now);
        m_limitNamedAt = now;
        return !wasLimited || m_limit.requestsPerSecond() != before;
    }
    if (!wasLimited || sentAt <= m_limitNamedAt) {
        return false;
    }
    m_limit.clear();
    return true;
}

time_point server_run_state::availableAt(time_point now) const
{
    return m_limit.availableAt(std::max(now, m_pausedUntil));
}

} // namespace snipefall
