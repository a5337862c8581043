#include "policy/bucket_digest.h"

#include "core/crypto.h"

namespace snipefall {

namespace {

std::uint64_t mix(std::uint64_t hash, std::uint64_t value)
{
    // The finalizer of MurmurHash3.
    hash ^= value * 0x9e3779b97f4a7c15ULL;
    hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdULL;
    hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33);
}

} // namespace

std::size_t bucket_digest::bucketOf(std::string_view key)
{
    return stableHash(key) % BUCKETS;
}

void bucket_digest::toggle(std::string_view key, std::uint64_t major, std::uint64_t minor)
{
    const std::uint64_t keyHash = stableHash(key);
    const std::uint64_t hash = mix(mix(keyHash, major), minor);
    m_total ^= hash;
    m_buckets[keyHash % BUCKETS] ^= static_cast<std::uint32_t>(hash);
}

std::vector<std::uint32_t> bucket_digest::buckets() const
{
    return {m_buckets.begin(), m_buckets.end()};
}

std::array<bool, bucket_digest::BUCKETS> bucket_digest::differing(const std::vector<std::uint32_t> &other) const
{
    std::array<bool, BUCKETS> result{};
    for (std::size_t i = 0; i < BUCKETS; ++i) {
        result[i] = other.size() != BUCKETS || other[i] != m_buckets[i];
    }
    return result;
}

} // namespace snipefall
