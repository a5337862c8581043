#include "policy/extra_load_budget.h"

#include <algorithm>

namespace snipefall {

namespace {

constexpr std::int64_t UNITS_PER_TOKEN = 100;
constexpr duration BUCKET_WIDTH = std::chrono::milliseconds(10);
constexpr std::int64_t BUCKETS_PER_SECOND = std::chrono::seconds(1) / BUCKET_WIDTH;

std::int64_t bucketOf(time_point when)
{
    return when.time_since_epoch() / BUCKET_WIDTH;
}

} // namespace

extra_load_budget::extra_load_budget(const extra_load_limits &limits)
    : m_limits(limits)
{
}

void extra_load_budget::countFirst(time_point sentAt, time_point now, std::int64_t count)
{
    advance(now);
    earn(count * m_limits.earnedPercent);
    const std::int64_t bucket = bucketOf(sentAt);
    if (bucket > m_bucket - BUCKETS_PER_SECOND) {
        m_firstCounts[static_cast<std::size_t>(bucket) % SLOTS] += count;
        m_firstSum += count;
    }
}

void extra_load_budget::revokeExtra(time_point acquiredAt, time_point now)
{
    advance(now);
    earn(UNITS_PER_TOKEN);
    const std::int64_t bucket = bucketOf(acquiredAt);
    if (bucket >= m_bucket - BUCKETS_PER_SECOND) {
        m_extraCounts[static_cast<std::size_t>(bucket) % SLOTS] -= 1;
        m_extraSum -= 1;
    }
}

bool extra_load_budget::tryAcquire(time_point now)
{
    advance(now);
    if (m_tokenUnits < UNITS_PER_TOKEN || (m_extraSum + 1) * 100 > m_firstSum * m_limits.capPercent) {
        return false;
    }
    m_tokenUnits -= UNITS_PER_TOKEN;
    m_extraCounts[static_cast<std::size_t>(m_bucket) % SLOTS] += 1;
    m_extraSum += 1;
    return true;
}

std::int64_t extra_load_budget::tokens() const
{
    return std::max<std::int64_t>(m_tokenUnits, 0) / UNITS_PER_TOKEN;
}

void extra_load_budget::earn(std::int64_t units)
{
    m_tokenUnits = std::min(m_tokenUnits + units, m_limits.burstTokens * UNITS_PER_TOKEN);
}

void extra_load_budget::advance(time_point now)
{
    const std::int64_t bucket = bucketOf(now);
    if (bucket - m_bucket >= static_cast<std::int64_t>(SLOTS)) {
        m_firstCounts.fill(0);
        m_extraCounts.fill(0);
        m_firstSum = 0;
        m_extraSum = 0;
        m_bucket = bucket;
        return;
    }
    while (m_bucket < bucket) {
        ++m_bucket;
        const auto slot = static_cast<std::size_t>(m_bucket);
        m_firstSum -= m_firstCounts[(slot - BUCKETS_PER_SECOND) % SLOTS];
        m_extraSum -= m_extraCounts[(slot - BUCKETS_PER_SECOND - 1) % SLOTS];
        m_firstCounts[slot % SLOTS] = 0;
        m_extraCounts[slot % SLOTS] = 0;
    }
}

} // namespace snipefall
