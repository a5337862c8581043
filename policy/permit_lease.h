#pragma once

#include "core/clock.h"
#include "policy/permit_share.h"

namespace snipefall {

/** How long a share is usable after the request of its last successful renewal was sent, on the holder's clock. */
constexpr duration LEASE_TIME = std::chrono::seconds(5);

/**
 * Added to LEASE_TIME by a node that takes over a share, before it uses that share.
 *
 * Two clocks that each drift by 1% differ by 102 ms over a lease. The rest covers the transit time of a request that was sent just before the lease ended.
 */
constexpr duration LEASE_MARGIN = std::chrono::milliseconds(500);

/** The lease of one node's share of a service, timed by the node's own monotonic clock. */
class permit_lease
{
public:
    /** The share that may be used at @p now. Must be checked before each request is sent. */
    permit_share usable(time_point now) const;
    bool valid(time_point now) const { return now < m_expiry; }
    /** True if the lease is valid and the whole share is usable: no part of it waits for the end of an earlier holder's lease. */
    bool settled(time_point now) const { return valid(now) && now >= m_increaseUsableFrom; }
    /** When the lease ends. */
    time_point usableUntil() const { return m_expiry; }

    /** Renews the lease after a successful renewal whose request was sent at @p requested. */
    void renew(time_point requested);
    /** Sets the share; an increase is usable at once. */
    void change(const permit_share &share);
    /** Sets the share; an increase is usable from @p usableFrom. */
    void changeByTakeover(const permit_share &share, time_point usableFrom);
    /** Clears the share and the lease when the node is no longer a holder. */
    void drop();

private:
    permit_share m_share;
    permit_share m_usableShare; ///< The part that is usable before m_increaseUsableFrom.
    time_point m_increaseUsableFrom = time_point::min();
    time_point m_expiry = time_point::min();
};

} // namespace snipefall
