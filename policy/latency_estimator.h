#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "policy/decaying_histogram.h"
#include "policy/latency_estimate.h"
#include "policy/latency_key.h"

namespace snipefall {

/**
 * Quantile estimates per (service, version), with a bounded number of keys.
 *
 * Cancelled sub-requests are recorded with their age at the cancellation. Leaving them out would lower the estimate with every hedge,
 * and the lower estimate would cause more hedges.
 */
class latency_estimator
{
public:
    static constexpr std::size_t DEFAULT_MAX_KEYS = 1024; // About 1 MB.

    explicit latency_estimator(std::size_t maxKeys = DEFAULT_MAX_KEYS);

    /** Adds a sample; a new key above the bound replaces the key with the oldest sample. */
    void record(const latency_key &key, duration latency, time_point now);

    /** The estimate of a key; nothing before @p minSamples samples. */
    std::optional<latency_estimate> estimate(const latency_key &key, std::uint64_t minSamples = 1) const;

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
