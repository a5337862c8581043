#include "policy/permit_successor.h"

#include "policy/permit_lease.h"

namespace snipefall {

void permit_successor::observe(const permit_entry *predecessor, time_point now)
{
    if (!predecessor) {
        m_predecessor.reset();
        return;
    }
    const ring_neighbor current{predecessor->node, predecessor->started};
    if (m_predecessor != current) {
        m_predecessor = current;
        m_predecessorSince = now;
    }
}

bool permit_successor::mayTakeOver(time_point now) const
{
    return m_predecessor && now - m_predecessorSince >= LEASE_TIME + LEASE_MARGIN;
}

time_point permit_successor::usableFrom(time_point confirmed) const
{
    return std::max(confirmed, m_lastPromise) + LEASE_TIME + LEASE_MARGIN;
}

} // namespace snipefall
