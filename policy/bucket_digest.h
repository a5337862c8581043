#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace snipefall {

/**
 * An incremental digest of a set of entries; each change takes constant time.
 *
 * Equal sets have equal digests, independent of the order of changes (XOR of the entry hashes). Entries are hashed by key into buckets with a digest each,
 * so that two nodes find the parts in which their sets differ without exchanging the sets.
 */
class bucket_digest
{
public:
    /** With 32 buckets, a pull takes less than 200 bytes, and at 470 members the records of one bucket fit about one datagram. */
    static constexpr std::size_t BUCKETS = 32;

    /** Returns the index of the bucket that holds @p key. */
    static std::size_t bucketOf(std::string_view key);

    /** Adds the entry, or removes it if it is in the set. @p major and @p minor are the version of the entry. */
    void toggle(std::string_view key, std::uint64_t major, std::uint64_t minor);

    /** The digest of the whole set; 0 if it is empty. */
    std::uint64_t total() const { return m_total; }
    /** The digests of the buckets, as sent in a pull. */
    std::vector<std::uint32_t> buckets() const;

    /** Returns true for each bucket that differs from @p other, and for all buckets if @p other has another size. */
    std::array<bool, BUCKETS> differing(const std::vector<std::uint32_t> &other) const;

private:
    std::uint64_t m_total = 0;
    std::array<std::uint32_t, BUCKETS> m_buckets{};
};

} // namespace snipefall
