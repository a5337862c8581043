#pragma once

#include <optional>

#include "core/clock.h"
#include "policy/permit_record.h"

namespace snipefall {

/** State of one node as the designated successor of its predecessor's share: when it may write the takeover, and from when it may use the share. */
class permit_successor
{
public:
    /** Records the predecessor in the newest permit record; null if this node is not in the ring or is alone in it. */
    void observe(const permit_entry *predecessor, time_point now);

    /** Records that a promise not to use the predecessor's share for LEASE_TIME was given at @p now. */
    void recordPromise(time_point now) { m_lastPromise = now; }

    /**
     * Returns true once this node has been the successor for LEASE_TIME plus LEASE_MARGIN.
     *
     * A previous successor may not know yet that it was removed, and can grant promises until its own lease ends. The takeover is written only after that.
     */
    bool mayTakeOver(time_point now) const;

    /**
     * Returns the earliest time at which a share may be used whose takeover was confirmed at @p confirmed.
     *
     * Holders renew by reading the record, and other nodes don't see these reads. The last successful one may have been sent just before the takeover took
     * effect, so a whole lease must pass after the confirmation.
     */
    time_point usableFrom(time_point confirmed) const;

private:
    struct ring_neighbor
    {
        node_id node;
        incarnation started;

        bool operator==(const ring_neighbor &) const = default;
    };
    std::optional<ring_neighbor> m_predecessor;
    time_point m_predecessorSince = time_point::min();
    time_point m_lastPromise = time_point::min();
};

} // namespace snipefall
