#pragma once

#include <optional>

#include "core/clock.h"
#include "policy/permit_record.h"

namespace snipefall {

/** One node's duty as the designated taker of its predecessor's share: when it may write the takeover and from when it may use the share. */
class permit_taker
{
public:
    /** The record that this node sees names @p predecessor before it; none when the node is not in the ring or alone in it. */
    void observe(const permit_entry *predecessor, time_point now);

    /** Notes that a promise was given at @p now not to use the predecessor's share before its lease ends. */
    void promised(time_point now) { m_lastPromise = now; }

    /**
     * True once this node has been the taker for a whole lease.
     *
     * An earlier taker may have been removed without knowing it, and promises until its own lease ends; the takeover is written only after that.
     */
    bool mayTakeOver(time_point now) const;

    /**
     * The earliest use of a share whose takeover was confirmed at @p confirmed.
     *
     * Holders renew by reading the record, which nobody else sees; the last such read was requested before the takeover took effect.
     */
    time_point usableFrom(time_point confirmed) const;

private:
    struct link
    {
        node_id node;
        incarnation started;

        bool operator==(const link &) const = default;
    };
    std::optional<link> m_predecessor;
    time_point m_since = time_point::min();
    time_point m_lastPromise = time_point::min();
};

} // namespace snipefall
