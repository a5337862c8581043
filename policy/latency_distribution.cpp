#include "policy/latency_distribution.h"

#include <algorithm>
#include <cmath>

namespace snipefall {

namespace {

constexpr double FIRST_BOUND_US = 100.0;
constexpr double BUCKETS_PER_DOUBLING = 4.0;

} // namespace

void latency_distribution::add(duration latency)
{
    const double ratio = std::max(1.0, static_cast<double>(latency.count()) / FIRST_BOUND_US);
    const auto bucket = static_cast<std::size_t>(std::ceil(std::log2(ratio) * BUCKETS_PER_DOUBLING));
    ++m_counts[std::min(bucket, BUCKETS - 1)];
}

void latency_distribution::merge(const latency_distribution &other)
{
    for (std::size_t i = 0; i < BUCKETS; ++i) {
        m_counts[i] += other.m_counts[i];
    }
}

std::uint64_t latency_distribution::count() const
{
    std::uint64_t total = 0;
    for (const std::uint64_t count : m_counts) {
        total += count;
    }
    return total;
}

duration latency_distribution::upperBound(std::size_t bucket)
{
    return duration(static_cast<std::int64_t>(FIRST_BOUND_US * std::exp2(static_cast<double>(bucket) / BUCKETS_PER_DOUBLING)));
}

duration latency_distribution::quantile(double q) const
{
    const std::uint64_t total = count();
    if (total == 0) {
        return duration(0);
    }
    const auto rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(total))));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < BUCKETS; ++i) {
        seen += m_counts[i];
        if (seen >= rank) {
            return upperBound(i);
        }
    }
    return upperBound(BUCKETS - 1);
}

json latency_distribution::toJson() const
{
    json document = json::object();
    for (std::size_t i = 0; i < BUCKETS; ++i) {
        if (m_counts[i] > 0) {
            document[std::to_string(i)] = m_counts[i];
        }
    }
    return document;
}

outcome<latency_distribution> latency_distribution::fromJson(const json &document)
{
    if (!document.is_object()) {
        return failure{error_code::invalid_argument, "a latency distribution is not an object"};
    }
    latency_distribution histogram;
    for (const auto &[key, count] : document.items()) {
        char *end = nullptr;
        const unsigned long bucket = std::strtoul(key.c_str(), &end, 10);
        if (*end != '\0' || bucket >= BUCKETS || !count.is_number_unsigned()) {
            return failure{error_code::invalid_argument, "a latency distribution has an unknown bucket " + key};
        }
        histogram.m_counts[bucket] = count.get<std::uint64_t>();
    }
    return histogram;
}

} // namespace snipefall
