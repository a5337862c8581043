#include "policy/permit_lease.h"

namespace snipefall {

permit_share permit_lease::usable(time_point now) const
{
    if (!valid(now)) {
        return {};
    }
    return now >= m_increaseUsableFrom ? m_share : m_usableShare;
}

void permit_lease::renew(time_point requested)
{
    m_expiry = std::max(m_expiry, requested + LEASE_TIME);
}

void permit_lease::change(const permit_share &share)
{
    m_usableShare = elementwiseMin(m_usableShare + (share - m_share), share);
    m_share = share;
}

void permit_lease::changeByTakeover(const permit_share &share, time_point usableFrom)
{
    m_usableShare = elementwiseMin(m_usableShare, share);
    m_share = share;
    m_increaseUsableFrom = std::max(m_increaseUsableFrom, usableFrom);
}

void permit_lease::drop()
{
    *this = permit_lease();
}

} // namespace snipefall
