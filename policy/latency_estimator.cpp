#include "policy/latency_estimator.h"

#include <algorithm>

namespace snipefall {

latency_estimator::latency_estimator(std::size_t maxKeys)
    : m_maxKeys(std::max<std::size_t>(maxKeys, 1))
{
}

void latency_estimator::record(const latency_key &key, duration latency, time_point now)
{
    auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        if (m_entries.size() >= m_maxKeys) {
            evictOldest();
        }
        found = m_entries.try_emplace(key).first;
    }
    found->second.histogram.record(latency, now);
    found->second.lastSample = now;
}

std::optional<latency_estimate> latency_estimator::estimate(const latency_key &key, std::uint64_t minSamples) const
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    const decaying_histogram &histogram = found->second.histogram;
    const auto p50 = histogram.quantile(0.50);
    const auto p95 = histogram.quantile(0.95);
    if (!p50 || !p95 || histogram.samples() < minSamples) {
        return std::nullopt;
    }
    return latency_estimate{*p50, *p95, histogram.samples()};
}

void latency_estimator::evictOldest()
{
    const auto oldest = std::min_element(
        m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) { return left.second.lastSample < right.second.lastSample; });
    m_entries.erase(oldest);
}

} // namespace snipefall
