#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/clock.h"
#include "core/json.h"

namespace snipefall {

/** Latency counts in logarithmic buckets a quarter of an octave wide (factor 1.19), from 0.25 ms to 27 s. Histograms of several nodes can be merged. */
class latency_histogram
{
public:
    static constexpr std::size_t BUCKETS = 68;

    void add(duration latency);
    void merge(const latency_histogram &other);

    /** The number of samples. */
    std::uint64_t total() const { return m_total; }
    /** The bucket that holds the given quantile of the samples; @p quantile is from 0 to 1. */
    std::size_t quantileBucket(double quantile) const;
    /** The number of samples in buckets above @p bucket. */
    std::uint64_t above(std::size_t bucket) const;

    /** The bucket that counts @p latency. */
    static std::size_t bucketOf(duration latency);
    /** The upper edge of @p bucket. */
    static duration upperEdge(std::size_t bucket);

    /** The upper edge of the bucket that holds the quantile; 0 when the histogram is empty. */
    duration quantile(double quantile) const { return m_total == 0 ? duration(0) : upperEdge(quantileBucket(quantile)); }

    /** The non-empty buckets, as {"bucket": count}. */
    json toJson() const;
    /** Decodes the text of toJson(); invalid_argument on any other spelling of a bucket or on a count that doesn't fit 32 bits. */
    static outcome<latency_histogram> fromJson(const json &document);

    bool operator==(const latency_histogram &) const = default;

private:
    std::array<std::uint32_t, BUCKETS> m_counts{};
    std::uint64_t m_total = 0;
};

} // namespace snipefall
