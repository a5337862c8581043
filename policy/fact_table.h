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
 * The newest fact of a key, by incarnation, sequence and origin, wins; merging is idempotent and independent of the order. Facts expire by the local clock
 * and travel with the time that is left, so that passing them on doesn't prolong them.
 */
class fact_table
{
public:
    /** Keeps one fact within one datagram. */
    static constexpr std::size_t MAX_FACT_BYTES = 700;
    static constexpr std::size_t MAX_FACTS = 8192;
    static constexpr duration MAX_LIFETIME = std::chrono::hours(24);
    /** An expired fact stays known for this time, so that a peer whose clock stood still can't bring it back. */
    static constexpr duration EXPIRED_RETENTION = std::chrono::minutes(1);

    /**
     * Publishes a fact of this node, which replaces whatever this node holds for the key.
     *
     * When the held fact has a higher incarnation, the new one takes that incarnation, so that a node that started earlier can also replace it.
     * Returns invalid_argument for a key, size or lifetime out of range and overloaded when the table is full.
     */
    outcome<fact> publish(time_point now, fact item);

    /** Takes a fact from a peer; true when it is news. With @p passOn it is also disseminated. */
    bool merge(time_point now, const fact &item, bool passOn = true);

    /** Removes what expired. */
    void tick(time_point now);

    /** Appends facts that are still to be disseminated, up to @p budget bytes; returns the bytes used. */
    std::size_t collect(time_point now, std::size_t budget, int sendLimit, std::vector<fact> &facts);

    /** Facts in the buckets that differ from @p theirs, in groups of at most @p budget bytes, at most @p groups groups. */
    std::vector<std::vector<fact>>
    differing(time_point now, const std::vector<std::uint32_t> &theirs, std::size_t budget, std::size_t groups, std::size_t firstBucket) const;

    std::optional<fact> find(time_point now, const std::string &key) const;
    std::vector<fact> all(time_point now) const;
    std::vector<fact> ofKind(time_point now, fact_kind kind) const;
    /** Changes whenever a fact of the kind is stored, replaced or found expired by tick(). */
    std::uint64_t versionOf(fact_kind kind) const;

    bool hasNews() const { return !m_news.empty(); }
    const bucket_digest &digest() const { return m_digest; }

private:
    struct entry
    {
        fact item;
        time_point expires;
        bool expired = false;
    };

    bool acceptable(const fact &item) const;
    void store(time_point now, const fact &item, bool passOn);
    void toggle(const fact &item) { m_digest.toggle(item.key, item.originIncarnation.value(), item.sequence); }
    static fact withTimeLeft(time_point now, const entry &held);

    std::map<std::string, entry, std::less<>> m_entries;
    broadcast_queue m_news;
    bucket_digest m_digest;
    std::map<fact_kind, std::uint64_t> m_versions;
    std::uint64_t m_sequence = 0;
};

} // namespace snipefall
