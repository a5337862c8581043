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
 * The stored object permits/<service>: the share that each node holds of the limit of each backend server.
 *
 * A value type: the functions with...() return changed copies. The object in the platform is changed only by conditional updates. The entry that follows a
 * holder in the ring is its designated successor, which takes over the share if the holder fails.
 */
class permit_record
{
public:
    permit_record() = default;
    permit_record(std::uint64_t epoch, std::vector<permit_entry> ring);

    bool operator==(const permit_record &) const = default;

    /** Increases by one with each change. */
    std::uint64_t epoch() const { return m_epoch; }
    const std::vector<permit_entry> &ring() const { return m_ring; }
    /** The sum of all shares. */
    permit_share total() const;

    /** The entry of @p node with any incarnation, or null. */
    const permit_entry *find(const node_id &node) const;
    /** The designated successor of @p node's share; null if the node is not in the ring or is alone in it. */
    const permit_entry *successorOf(const node_id &node) const;
    /** The holder whose designated successor is @p node; null if the node is not in the ring or is alone in it. */
    const permit_entry *predecessorOf(const node_id &node) const;

    /** The record in which @p node has received the share of its predecessor, which is removed from the ring. */
    permit_record withTakeover(const node_id &node) const;
    /** The record without the entry of @p node. */
    permit_record without(const node_id &node) const;
    /** The record with another incarnation for @p node, for a restarted node. */
    permit_record withIncarnation(const node_id &node, incarnation started) const;
    /** The record with @p standby inserted, without a share, directly after @p holder, whose designated successor it becomes. */
    permit_record withStandby(const node_id &holder, const permit_entry &standby) const;
    /** The record in which @p amount is moved from @p from to @p to. */
    permit_record withHandOver(const node_id &from, const node_id &to, const permit_share &amount) const;
    /** The record with @p share as the share of @p node. */
    permit_record withShare(const node_id &node, const permit_share &share) const;

    std::string toJson() const;
    /** Parses a record. Fails with invalid_argument for malformed text, an empty ring or a node that occurs twice. */
    static outcome<permit_record> fromJson(std::string_view text);

private:
    std::optional<std::size_t> indexOf(const node_id &node) const;
    permit_record withNextEpoch() const;

    std::uint64_t m_epoch = 0;
    std::vector<permit_entry> m_ring;
};

} // namespace snipefall
