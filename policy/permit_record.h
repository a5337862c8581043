#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/outcome.h"
#include "policy/permit_entry.h"

namespace snipefall {

/**
 * The object permits/<service>: who holds which share of the limit of each backend server.
 *
 * A value; it is changed in the platform only by a conditional update. The entry that follows a holder in the ring is its designated taker.
 */
class permit_record
{
public:
    permit_record() = default;
    permit_record(std::uint64_t epoch, std::vector<permit_entry> ring);

    bool operator==(const permit_record &) const = default;

    /** Grows by one with each change. */
    std::uint64_t epoch() const { return m_epoch; }
    const std::vector<permit_entry> &ring() const { return m_ring; }
    permit_share total() const;

    /** The entry of @p node in any incarnation. */
    const permit_entry *find(const node_id &node) const;
    /** The designated taker of @p node's share; none when the node is not in the ring or alone in it. */
    const permit_entry *takerOf(const node_id &node) const;
    /** The holder whose share @p node takes over; none when the node is not in the ring or alone in it. */
    const permit_entry *predecessorOf(const node_id &node) const;

    /** The record after @p node has received the share of its predecessor, which leaves the ring. */
    permit_record withTakeover(const node_id &node) const;
    /** The record after @p node has removed itself from the ring. */
    permit_record without(const node_id &node) const;
    /** The record with the new incarnation of a restarted node. */
    permit_record withIncarnation(const node_id &node, incarnation started) const;
    /** The record with an empty entry that directly follows @p holder, which becomes its taker. */
    permit_record withStandby(const node_id &holder, const permit_entry &standby) const;
    /** The record after @p from has given @p amount to @p to. */
    permit_record withHandOver(const node_id &from, const node_id &to, const permit_share &amount) const;
    /** The record with another share of @p node. */
    permit_record withShare(const node_id &node, const permit_share &share) const;

    std::string toJson() const;
    /** Fails with invalid_argument for a malformed text, an empty ring or a node that is named twice. */
    static outcome<permit_record> fromJson(std::string_view text);

private:
    std::optional<std::size_t> indexOf(const node_id &node) const;
    permit_record nextRecord() const;

    std::uint64_t m_epoch = 0;
    std::vector<permit_entry> m_ring;
};

} // namespace snipefall
