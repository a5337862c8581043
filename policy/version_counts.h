#pragma once

#include <cstdint>

#include "policy/latency_histogram.h"

namespace snipefall {

/**
 * A stall of a process or VM on a busy machine lasts some tens of milliseconds and delays all sub-requests in flight. The comparison of latencies takes
 * samples for independent, so that a node counts one of each block.
 */
constexpr duration LATENCY_BLOCK = std::chrono::milliseconds(50);

/** What one version of the backend servers did on one route in some period; counts of several nodes add up. */
struct version_counts
{
    std::uint64_t answers = 0; ///< Sub-answers, failed ones included.
    std::uint64_t errors = 0; ///< Failed sub-answers, connections closed without an answer included.
    latency_histogram latency; ///< Successful sub-answers of backend servers that have warmed up; of the new version at most one of each LATENCY_BLOCK.

    void merge(const version_counts &other)
    {
        answers += other.answers;
        errors += other.errors;
        latency.merge(other.latency);
    }

    bool operator==(const version_counts &) const = default;
};

} // namespace snipefall
