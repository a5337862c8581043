#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "policy/decaying_histogram.h"
#include "policy/latency_estimate.h"
#include "policy/latency_key.h"

namespace snipefall {

/**
 * Latency quantiles per (service, version), for a bounded number of keys.
 *
 * Cancelled sub-requests must be recorded too, with their age at the cancellation. Leaving them out would lower the estimate with every hedge,
 * and the lower estimate would cause more hedges.
 */
class latency_estimator
{
public:
    static constexpr std::size_t DEFAULT_MAX_KEYS = 1024; ///< Uses about 1 MB of memory.

    explicit latency_estimator(std::size_t maxKeys = DEFAULT_MAX_KEYS);

    /** Adds a sample. If the table is full, a new key evicts the one that has gone longest without a sample. */
    void record(const latency_key &key, duration latency, time_point now);

    /** Returns the estimate of a key, or nothing if it has fewer than @p minSamples samples. */
    std::optional<latency_estimate> estimate(const latency_key &key, std::uint64_t minSamples = 1) const;

    /** Number of keys that have samples. */
    std::size_t keys() const { return m_entries.size(); }

private:
    struct entry
    {
        decaying_histogram histogram;
        time_point lastSample{};
    };

    void evictOldest();

    std::size_t m_maxKeys;
    std::unordered_map<latency_key, entry> m_entries;
};

} // namespace snipefall
