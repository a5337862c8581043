#pragma once

#include "core/clock.h"
#include "policy/permit_share.h"

namespace snipefall {

/** How long a share is usable after the request of its last renewal, on the holder's clock. */
constexpr duration LEASE_TIME = std::chrono::seconds(5);

/**
 * Added to LEASE_TIME by a node that takes a share over.
 *
 * Two clocks that each drift by 1% differ by 102 ms over a lease; the rest covers the way of a request that was sent just before the expiry.
 */
constexpr duration LEASE_MARGIN = std::chrono::milliseconds(500);

/** One node's share of a service on the node's own monotonic clock. */
class permit_lease
{
public:
    /** The share that may be used at @p now; check it before each send. */
    permit_share usable(time_point now) const;
    bool valid(time_point now) const { return now < m_until; }
    /** True when no part of the share waits for an earlier holder's lease to end. */
    bool settled(time_point now) const { return valid(now) && now >= m_waitUntil; }
    time_point usableUntil() const { return m_until; }

    /** A renewal succeeded whose request was made at @p requested. */
    void renew(time_point requested);
    /** The share is now @p share; an increase is usable at once. */
    void change(const permit_share &share);
    /** The share is now @p share; an increase is usable from @p usableFrom. */
    void changeByTakeover(const permit_share &share, time_point usableFrom);
    /** The node is no longer a holder. */
    void drop();

private:
    permit_share m_share;
    permit_share m_settled; ///< The part that is usable before m_waitUntil.
    time_point m_waitUntil = time_point::min();
    time_point m_until = time_point::min();
};

} // namespace snipefall
