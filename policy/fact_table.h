#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/outcome.h"
#include "policy/broadcast_queue.h"
#include "policy/bucket_digest.h"
#include "policy/fact.h"

namespace snipefall {

/**
 * The facts that a node holds.
 *
 * Of several facts with one key, the one with the highest incarnation, sequence and origin (compared in this order) wins, so merging is idempotent and
 * independent of the order. Facts expire by the local clock and are sent with their remaining lifetime, so rebroadcasting doesn't extend it.
 */
class fact_table
{
public:
    /** Maximum encoded size, so that a fact fits one datagram. */
    static constexpr std::size_t MAX_FACT_BYTES = 700;
    /** Maximum number of keys; further facts are refused. */
    static constexpr std::size_t MAX_FACTS = 8192;
    static constexpr duration MAX_LIFETIME = std::chrono::hours(24);
    /** How long an expired fact is kept as a tombstone, so that a peer that was paused and still holds it can't bring it back. */
    static constexpr duration EXPIRED_RETENTION = std::chrono::minutes(1);

    /**
     * Publishes a fact of this node, which replaces the fact that this node holds for the key.
     *
     * If the held fact has a higher incarnation, the new one adopts it, so that a node can also replace a fact of a node that started later.
     * Returns invalid_argument for a key, size or lifetime out of range and overloaded when the table is full.
     */
    outcome<fact> publish(time_point now, fact item);

    /** Merges a fact of a peer. Returns true if it was valid and newer than the held one; it is then also broadcast if @p rebroadcast is true. */
    bool merge(time_point now, const fact &item, bool rebroadcast = true);

    /** Marks expired facts and removes old tombstones. */
    void tick(time_point now);

    /** Appends facts with pending broadcasts, at most @p budget bytes, to @p facts; returns the bytes used. */
    std::size_t collect(time_point now, std::size_t budget, int sendLimit, std::vector<fact> &facts);

    /** Returns the facts in buckets that differ from @p theirs, in at most @p groups groups of at most @p budget bytes each, starting at @p firstBucket. */
    std::vector<std::vector<fact>>
    differing(time_point now, const std::vector<std::uint32_t> &theirs, std::size_t budget, std::size_t groups, std::size_t firstBucket) const;

    /** The unexpired fact of a key, with its remaining lifetime. */
    std::optional<fact> find(time_point now, const std::string &key) const;
    std::vector<fact> all(time_point now) const;
    std::vector<fact> ofKind(time_point now, fact_kind kind) const;
    /** Changes whenever a fact of the kind is stored or replaced, or expires in tick(). */
    std::uint64_t versionOf(fact_kind kind) const;

    bool hasPendingBroadcasts() const { return !m_broadcasts.empty(); }
    const bucket_digest &digest() const { return m_digest; }

private:
    struct entry
    {
        fact item;
        time_point expires;
        bool expired = false;
    };

    bool isAcceptable(const fact &item) const;
    void store(time_point now, const fact &item, bool rebroadcast);
    void toggleDigest(const fact &item) { m_digest.toggle(item.key, item.originIncarnation.value(), item.sequence); }
    static fact withRemainingLifetime(time_point now, const entry &held);

    std::map<std::string, entry, std::less<>> m_entries;
    broadcast_queue m_broadcasts;
    bucket_digest m_digest;
    std::map<fact_kind, std::uint64_t> m_versions;
    std::uint64_t m_sequence = 0;
};

} // namespace snipefall
