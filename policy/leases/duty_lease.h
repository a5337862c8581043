#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "policy/leases/usage_record.h"
#include "policy/recovery/store_position.h"

namespace snipefall {

/**
 * Decides which node may send the usage reports, and until when.
 *
 * Answers holders that die, are cut off, are frozen, or are replaced while they believe to hold the lease. A holder may send only for a short time after a
 * conditional write that it knows to have succeeded, and a successor waits longer than that after its own first write. All times are taken from a clock that
 * counts suspensions, as the time since boot.
 */
class duty_lease
{
public:
    enum class action
    {
        none,
        read, ///< Read the record from the store.
        take, ///< Write the record with this node as the holder, on the condition that it has not changed.
    };

    /** What the node knows of the other nodes. */
    struct peer_view
    {
        std::size_t rank = 0; ///< Number of live nodes whose ids sort before this node's.
        bool holderIsLive = false; ///< Also true if the node can't tell.
    };

    /** Nodes that take over if the holder is lost, the first ones by id. */
    static constexpr std::size_t CANDIDATES = 3;

    /** @p leaseTime is the time within which the platform must not see an earlier holder again; @p renewInterval the time between two writes of a holder. */
    duty_lease(node_id self, incarnation run, duration leaseTime, duration renewInterval);

    /** What a node that isn't the holder has to do. */
    action next(const peer_view &peers, duration now) const;
    /** Notes the record as it was read, or that there is none; @p position is where it was last changed. */
    void noteRead(const std::optional<usage_record> &record, store_position position, duration now);
    /** Notes that the record in the store can't be read: the next holder takes over from what is remembered of it. */
    void noteUnreadable(store_position position, duration now);
    /** Notes that a write of this node has succeeded that was begun at @p begun. */
    void noteWritten(const usage_record &record, store_position position, duration begun, duration now);
    /** Notes that a write failed or that its result is unknown: the record has to be read again before anything else. */
    void noteWriteFailed();
    /** Notes a peer's message that the holder has written the record. */
    void noteHeard(duration now) { m_heardAt = now; }
    /** Notes a peer's message that the holder gave up the lease. */
    void noteReleased() { m_known = false; }

    /** True if this run of the node has written the record as the holder and knows of no later change. */
    bool isHolder() const { return m_known && m_record && m_record->holder == m_self && m_record->run == m_run; }
    /** Whether a report may be sent at @p now. */
    bool maySend(duration now) const { return isHolder() && now >= m_sendFrom && now < m_sendUntil; }
    /** Whether the time after a takeover in which an earlier holder may still send is over. */
    bool isSettled(duration now) const { return now >= m_sendFrom; }
    /** The record with this node as the new holder. */
    usage_record takenRecord() const;
    /** The record as it is known in the store. */
    const std::optional<usage_record> &record() const { return m_record; }
    store_position position() const { return m_position; }
    /** The fencing token of this holder: the era of the store in the upper part, so that it doesn't fall when the store loses the counter. */
    std::uint64_t token() const;

private:
    node_id m_self;
    incarnation m_run;
    duration m_leaseTime;
    duration m_renewInterval;
    bool m_known = false; ///< The record, or its absence, is known as of the last call.
    std::optional<usage_record> m_record;
    store_position m_position;
    std::uint64_t m_highestCounter = 0; ///< Of all records that were seen; a restored store may name a lower one.
    store_era m_tokenEra; ///< The highest era of any position or record that was seen.
    duration m_heardAt{}; ///< When the holder last showed that it is at work.
    duration m_sendFrom{};
    duration m_sendUntil{};
};

} // namespace snipefall
