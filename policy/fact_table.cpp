#include "policy/fact_table.h"

#include <algorithm>
#include <tuple>

#include "policy/datagram_groups.h"

namespace snipefall {

namespace {

bool isNewer(const fact &a, const fact &b)
{
    return std::tie(a.originIncarnation, a.sequence, a.origin) > std::tie(b.originIncarnation, b.sequence, b.origin);
}

} // namespace

bool fact_table::isAcceptable(const fact &item) const
{
    return !item.key.empty() && encodedSizeBound(item) <= MAX_FACT_BYTES && item.lifetime > duration::zero() && item.lifetime <= MAX_LIFETIME;
}

outcome<fact> fact_table::publish(time_point now, fact item)
{
    if (!isAcceptable(item)) {
        return failure{error_code::invalid_argument, "a fact needs a key, at most 700 bytes and a lifetime of at most 24 h"};
    }
    const auto held = m_entries.find(item.key);
    if (held == m_entries.end() && m_entries.size() >= MAX_FACTS) {
        return failure{error_code::overloaded, "the table of facts is full"};
    }
    if (held != m_entries.end()) {
        item.originIncarnation = std::max(item.originIncarnation, held->second.item.originIncarnation);
        m_sequence = std::max(m_sequence, held->second.item.sequence);
    }
    item.sequence = ++m_sequence;
    store(now, item, true);
    return item;
}

bool fact_table::merge(time_point now, const fact &item, bool rebroadcast)
{
    if (!isAcceptable(item)) {
        return false;
    }
    const auto held = m_entries.find(item.key);
    if (held == m_entries.end() ? m_entries.size() >= MAX_FACTS : !isNewer(item, held->second.item)) {
        return false;
    }
    store(now, item, rebroadcast);
    return true;
}

void fact_table::store(time_point now, const fact &item, bool rebroadcast)
{
    const auto held = m_entries.find(item.key);
    if (held != m_entries.end() && !held->second.expired) {
        toggleDigest(held->second.item);
        ++m_versions[held->second.item.kind];
    }
    ++m_versions[item.kind];
    m_entries[item.key] = entry{item, now + item.lifetime, false};
    toggleDigest(item);
    if (rebroadcast) {
        m_broadcasts.add(item.key);
    } else {
        m_broadcasts.remove(item.key);
    }
}

void fact_table::tick(time_point now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        entry &held = it->second;
        if (!held.expired && held.expires <= now) {
            held.expired = true;
            toggleDigest(held.item);
            ++m_versions[held.item.kind];
            m_broadcasts.remove(it->first);
        }
        it = held.expires + EXPIRED_RETENTION <= now ? m_entries.erase(it) : std::next(it);
    }
}

fact fact_table::withRemainingLifetime(time_point now, const entry &held)
{
    fact item = held.item;
    item.lifetime = held.expires - now;
    return item;
}

std::size_t fact_table::collect(time_point now, std::size_t budget, int sendLimit, std::vector<fact> &facts)
{
    std::size_t used = 0;
    m_broadcasts.collect(sendLimit, [&](const std::string &key) {
        const entry &held = m_entries.find(key)->second;
        const std::size_t size = encodedSizeBound(held.item);
        if (used + size > budget) {
            return false;
        }
        used += size;
        // A fact that expired since the last tick counts as sent but isn't added to the datagram.
        if (held.expires > now) {
            facts.push_back(withRemainingLifetime(now, held));
        }
        return true;
    });
    return used;
}

std::vector<std::vector<fact>>
fact_table::differing(time_point now, const std::vector<std::uint32_t> &theirs, std::size_t budget, std::size_t groups, std::size_t firstBucket) const
{
    const auto differs = m_digest.differing(theirs);
    std::vector<std::pair<std::size_t, fact>> wanted;
    for (const auto &[key, held] : m_entries) {
        const std::size_t bucket = bucket_digest::bucketOf(key);
        if (differs[bucket] && held.expires > now) {
            wanted.emplace_back(bucket, withRemainingLifetime(now, held));
        }
    }
    return packIntoGroups(std::move(wanted), budget, groups, firstBucket);
}

std::optional<fact> fact_table::find(time_point now, const std::string &key) const
{
    const auto held = m_entries.find(key);
    if (held == m_entries.end() || held->second.expires <= now) {
        return std::nullopt;
    }
    return withRemainingLifetime(now, held->second);
}

std::uint64_t fact_table::versionOf(fact_kind kind) const
{
    const auto found = m_versions.find(kind);
    return found == m_versions.end() ? 0 : found->second;
}

std::vector<fact> fact_table::all(time_point now) const
{
    std::vector<fact> result;
    for (const auto &[key, held] : m_entries) {
        if (held.expires > now) {
            result.push_back(withRemainingLifetime(now, held));
        }
    }
    return result;
}

std::vector<fact> fact_table::ofKind(time_point now, fact_kind kind) const
{
    std::vector<fact> result;
    for (const auto &[key, held] : m_entries) {
        if (held.item.kind == kind && held.expires > now) {
            result.push_back(withRemainingLifetime(now, held));
        }
    }
    return result;
}

} // namespace snipefall
