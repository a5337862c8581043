#pragma once

#include <array>
#include <cstdint>

#include "core/clock.h"
#include "core/json.h"

namespace snipefall {

/**
 * Counts of latencies in buckets that grow by a quarter power of two, so that a percentile is read with an error below 19%.
 *
 * Distributions of several nodes are merged by adding their buckets.
 */
class latency_distribution
{
public:
    static constexpr std::size_t BUCKETS = 96; ///< From 100 µs to about 28 min.

    void add(duration latency);
    void merge(const latency_distribution &other);

    std::uint64_t count() const;
    /** The upper bound of the bucket that holds the quantile @p q (0 to 1); 0 when empty. */
    duration quantile(double q) const;

    static duration upperBound(std::size_t bucket);

    /** Only the buckets that are not empty, as {"bucket": count}. */
    json toJson() const;
    static outcome<latency_distribution> fromJson(const json &document);

    bool operator==(const latency_distribution &) const = default;

private:
    std::array<std::uint64_t, BUCKETS> m_counts{};
};

} // namespace snipefall
