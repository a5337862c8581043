#include "policy/permit_lease.h"

namespace snipefall {

permit_share permit_lease::usable(time_point now) const
{
    if (!valid(now)) {
        return {};
    }
    return now >= m_waitUntil ? m_share : m_settled;
}

void permit_lease::renew(time_point requested)
{
    m_until = std::max(m_until, requested + LEASE_TIME);
}

void permit_lease::change(const permit_share &share)
{
    m_settled = smaller(m_settled + (share - m_share), share);
    m_share = share;
}

void permit_lease::changeByTakeover(const permit_share &share, time_point usableFrom)
{
    m_settled = smaller(m_settled, share);
    m_share = share;
    m_waitUntil = std::max(m_waitUntil, usableFrom);
}

void permit_lease::drop()
{
    *this = permit_lease();
}

} // namespace snipefall
