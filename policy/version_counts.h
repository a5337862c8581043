#pragma once

#include <cstdint>

#include "policy/latency_histogram.h"

namespace snipefall {

/** What one version of the backend servers did on one route in some period; counts of several nodes add up. */
struct version_counts
{
    std::uint64_t answers = 0; ///< Sub-answers, failed ones included.
    std::uint64_t errors = 0; ///< Failed sub-answers, connections closed without an answer included.
    latency_histogram latency; ///< Successful sub-answers of backend servers that have warmed up.

    void merge(const version_counts &other)
    {
        answers += other.answers;
        errors += other.errors;
        latency.merge(other.latency);
    }

    bool operator==(const version_counts &) const = default;
};

} // namespace snipefall
