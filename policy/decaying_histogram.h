#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace snipefall {

/**
 * Latency histogram with logarithmic buckets and exponential decay.
 *
 * Each octave has eight buckets, so a quantile is off by at most 12.5%. Recording a sample costs one increment and assumes nothing about the shape of
 * the distribution. Stochastic quantile estimators are not used because they follow a jump of the latency too slowly.
 * All counts are halved after a number of samples or after a time, whichever comes first.
 */
class decaying_histogram
{
public:
    void record(duration latency, time_point now);

    /** Returns the latency below which the share @p rank (0 to 1) of the samples lies, or nothing before the first sample. */
    std::optional<duration> quantile(double rank) const;

    /** Number of samples after decay. */
    std::uint64_t samples() const;

private:
    static constexpr std::size_t BUCKETS = 200; ///< Covers latencies up to 2^27 us, 134 s.

    void halve();
    void decay(time_point now);

    std::array<std::uint32_t, BUCKETS> m_counts{};
    std::uint64_t m_total = 0;
    time_point m_lastHalving{};
};

} // namespace snipefall
