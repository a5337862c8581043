#include "policy/decaying_histogram.h"

#include <algorithm>
#include <bit>

namespace snipefall {

namespace {

constexpr unsigned BUCKET_BITS = 3;
constexpr std::size_t BUCKETS_PER_OCTAVE = 1U << BUCKET_BITS;
/** Each sample counts more than one unit, so that rare slow samples survive several halvings of the integer counts. */
constexpr std::uint32_t SAMPLE_WEIGHT = 16;
/** The counts are halved at this many samples, with which the rank of a p95 has a standard error of about 0.2%. */
constexpr std::uint64_t MAX_SAMPLES = 16384;
constexpr duration HALF_LIFE = std::chrono::seconds(10);
constexpr int MAX_HALVINGS = 20;

std::size_t bucketOf(duration latency)
{
    const auto value = static_cast<std::uint64_t>(std::max<duration::rep>(latency.count(), 0));
    if (value < BUCKETS_PER_OCTAVE) {
        return value;
    }
    const auto shift = static_cast<unsigned>(std::bit_width(value)) - 1 - BUCKET_BITS;
    return shift * BUCKETS_PER_OCTAVE + (value >> shift);
}

double lowerBound(std::size_t bucket)
{
    if (bucket < 2 * BUCKETS_PER_OCTAVE) {
        return static_cast<double>(bucket);
    }
    const std::size_t shift = bucket / BUCKETS_PER_OCTAVE - 1;
    return static_cast<double>((BUCKETS_PER_OCTAVE + bucket % BUCKETS_PER_OCTAVE) << shift);
}

} // namespace

void decaying_histogram::record(duration latency, time_point now)
{
    decay(now);
    m_counts[std::min(bucketOf(latency), BUCKETS - 1)] += SAMPLE_WEIGHT;
    m_total += SAMPLE_WEIGHT;
}

std::optional<duration> decaying_histogram::quantile(double rank) const
{
    if (m_total == 0) {
        return std::nullopt;
    }
    const double targetCount = std::clamp(rank, 0.0, 1.0) * static_cast<double>(m_total);
    double countBelow = 0;
    double result = 0;
    for (std::size_t bucket = 0; bucket < BUCKETS && countBelow < targetCount; ++bucket) {
        if (m_counts[bucket] == 0) {
            continue;
        }
        const double fraction = std::min(1.0, (targetCount - countBelow) / m_counts[bucket]);
        result = lowerBound(bucket) + fraction * (lowerBound(bucket + 1) - lowerBound(bucket));
        countBelow += m_counts[bucket];
    }
    return duration(static_cast<duration::rep>(result));
}

std::uint64_t decaying_histogram::samples() const
{
    return m_total / SAMPLE_WEIGHT;
}

void decaying_histogram::halve()
{
    m_total = 0;
    for (std::uint32_t &count : m_counts) {
        count /= 2;
        m_total += count;
    }
}

void decaying_histogram::decay(time_point now)
{
    if (m_total == 0) {
        m_lastHalving = now;
        return;
    }
    if (m_total >= MAX_SAMPLES * SAMPLE_WEIGHT) {
        halve();
        m_lastHalving = now;
    }
    for (int halvings = 0; now - m_lastHalving >= HALF_LIFE; ++halvings) {
        if (halvings == MAX_HALVINGS) {
            m_lastHalving = now;
            return;
        }
        halve();
        m_lastHalving += HALF_LIFE;
    }
}

} // namespace snipefall
