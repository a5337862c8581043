#pragma once

#include <cstdint>

#include "policy/latency_histogram.h"

namespace snipefall {

/**
 * Period from which a node counts only one latency of the new version. A stall of a process or VM on a busy machine lasts some tens of milliseconds and
 * delays all sub-requests in flight, but the latency comparison assumes that samples are independent.
 */
constexpr duration LATENCY_SAMPLING_PERIOD = std::chrono::milliseconds(50);

/** Answer counts of one version of the backend servers on one route in one period. Counts of several nodes can be merged. */
struct version_counts
{
    std::uint64_t answers = 0; ///< Sub-answers, including failed ones.
    std::uint64_t errors = 0; ///< Failed sub-answers, including connections that were closed without an answer.
    latency_histogram latency; ///< Latencies of successful sub-answers of warm backend servers; for the new version, at most one per LATENCY_SAMPLING_PERIOD.

    void merge(const version_counts &other)
    {
        answers += other.answers;
        errors += other.errors;
        latency.merge(other.latency);
    }

    bool operator==(const version_counts &) const = default;
};

} // namespace snipefall
