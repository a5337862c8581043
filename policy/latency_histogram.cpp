#include "policy/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace snipefall {

namespace {

constexpr double LOWEST_EDGE_US = 250;
constexpr double BUCKETS_PER_OCTAVE = 4;

} // namespace

std::size_t latency_histogram::bucketOf(duration latency)
{
    const auto us = static_cast<double>(latency.count());
    if (us < LOWEST_EDGE_US) {
        return 0;
    }
    return std::min(BUCKETS - 1, 1 + static_cast<std::size_t>(BUCKETS_PER_OCTAVE * std::log2(us / LOWEST_EDGE_US)));
}

duration latency_histogram::upperEdge(std::size_t bucket)
{
    return duration(std::llround(LOWEST_EDGE_US * std::exp2(static_cast<double>(bucket) / BUCKETS_PER_OCTAVE)));
}

void latency_histogram::add(duration latency)
{
    ++m_counts[bucketOf(latency)];
    ++m_total;
}

void latency_histogram::merge(const latency_histogram &other)
{
    for (std::size_t i = 0; i < BUCKETS; ++i) {
        m_counts[i] += other.m_counts[i];
    }
    m_total += other.m_total;
}

std::size_t latency_histogram::quantileBucket(double quantile) const
{
    const double targetCount = quantile * static_cast<double>(m_total);
    std::uint64_t cumulativeCount = 0;
    for (std::size_t i = 0; i < BUCKETS; ++i) {
        cumulativeCount += m_counts[i];
        if (static_cast<double>(cumulativeCount) >= targetCount) {
            return i;
        }
    }
    return BUCKETS - 1;
}

std::uint64_t latency_histogram::above(std::size_t bucket) const
{
    std::uint64_t count = 0;
    for (std::size_t i = bucket + 1; i < BUCKETS; ++i) {
        count += m_counts[i];
    }
    return count;
}

json latency_histogram::toJson() const
{
    json document = json::object();
    for (std::size_t bucket = 0; bucket < BUCKETS; ++bucket) {
        if (m_counts[bucket] > 0) {
            document[std::to_string(bucket)] = m_counts[bucket];
        }
    }
    return document;
}

outcome<latency_histogram> latency_histogram::fromJson(const json &document)
{
    if (!document.is_object()) {
        return failure{error_code::invalid_argument, "a latency histogram is not an object"};
    }
    latency_histogram histogram;
    for (const auto &[key, count] : document.items()) {
        const unsigned long bucket = std::strtoul(key.c_str(), nullptr, 10);
        // Only the canonical spelling that toJson() writes is accepted: "1" and "01" would both add to the total, but the second would replace the first's
        // count.
        if (std::to_string(bucket) != key || bucket >= BUCKETS || !count.is_number_unsigned() || count.get<std::uint64_t>() > UINT32_MAX) {
            return failure{error_code::invalid_argument, "a latency histogram has an unknown bucket or count: " + key};
        }
        histogram.m_counts[bucket] = count.get<std::uint32_t>();
        histogram.m_total += histogram.m_counts[bucket];
    }
    return histogram;
}

} // namespace snipefall
