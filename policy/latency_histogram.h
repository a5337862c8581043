#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/clock.h"
#include "core/json.h"

namespace snipefall {

/** Latency counts in buckets a quarter of an octave wide (factor 1.19), from 0.25 ms to 27 s; histograms of several nodes add up. */
class latency_histogram
{
public:
    static constexpr std::size_t BUCKETS = 68;

    void add(duration latency);
    void merge(const latency_histogram &other);

    std::uint64_t total() const { return m_total; }
    /** The lowest bucket that at least the share @p quantile of the samples don't exceed. */
    std::size_t quantileBucket(double quantile) const;
    /** The number of samples in buckets above @p bucket. */
    std::uint64_t above(std::size_t bucket) const;

    static std::size_t bucketOf(duration latency);
    /** The upper edge of @p bucket. */
    static duration upperEdge(std::size_t bucket);

    /** The upper edge of the bucket that holds the quantile; 0 when empty. */
    duration quantile(double quantile) const { return m_total == 0 ? duration(0) : upperEdge(quantileBucket(quantile)); }

    /** Only the buckets that are not empty, as {"bucket": count}. */
    json toJson() const;
    static outcome<latency_histogram> fromJson(const json &document);

    bool operator==(const latency_histogram &) const = default;

private:
    std::array<std::uint32_t, BUCKETS> m_counts{};
    std::uint64_t m_total = 0;
};

} // namespace snipefall
