#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace snipefall {

/**
 * A digest of a set of entries that is updated in constant time.
 *
 * Two sets with the same entries have the same digest whatever the order of changes. Entries fall into buckets by key, so that nodes find out which part
 * of their sets differs without sending the sets.
 */
class bucket_digest
{
public:
    /** 32 buckets keep a pull below 200 bytes and a bucket of 470 members at about one datagram. */
    static constexpr std::size_t BUCKETS = 32;

    static std::size_t bucketOf(std::string_view key);

    /** Adds the entry, or removes it when it is there. */
    void toggle(std::string_view key, std::uint64_t major, std::uint64_t minor);

    std::uint64_t total() const { return m_total; }
    std::vector<std::uint32_t> buckets() const;

    /** Marks the buckets that differ; all of them when @p other has another size. */
    std::array<bool, BUCKETS> differing(const std::vector<std::uint32_t> &other) const;

private:
    std::uint64_t m_total = 0;
    std::array<std::uint32_t, BUCKETS> m_buckets{};
};

} // namespace snipefall
