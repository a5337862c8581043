#include "policy/shared_retry_budget.h"

#include <algorithm>

namespace snipefall {

namespace {

/** Fraction of the node's budget that is used. The rest covers requests that the platform counts in a different window than this node. */
constexpr double BUDGET_FRACTION = 0.9;
/** Fraction of the slack that all nodes use together. The rest covers restarted nodes, which no longer know what they sent and use their share again. */
constexpr double SHARED_SLACK_FRACTION = 0.5;
/** Fraction of the budget that hedges may use. */
constexpr double HEDGE_FRACTION = 0.75;

} // namespace

void shared_retry_budget::setLimits(const shared_retry_limits &limits, std::size_t nodes)
{
    m_limits = limits;
    m_slackShare = SHARED_SLACK_FRACTION * limits.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
}

void shared_retry_budget::countRequest(const service_id &service, time_point now)
{
    window_counts &state = advanceWindow(service, now);
    ++state.requests[static_cast<std::size_t>(state.bucket) % BUCKETS];
    ++state.requestSum;
}

bool shared_retry_budget::tryAcquire(const service_id &service, extra_send_purpose purpose, time_point now)
{
    window_counts &state = advanceWindow(service, now);
    const double allowed = BUDGET_FRACTION * m_limits.ratio * static_cast<double>(state.requestSum) + m_slackShare;
    const double usable = purpose == extra_send_purpose::hedge ? HEDGE_FRACTION * allowed : allowed;
    if (static_cast<double>(state.extraSum + 1) > usable) {
        return false;
    }
    ++state.extras[static_cast<std::size_t>(state.bucket) % BUCKETS];
    ++state.extraSum;
    return true;
}

shared_retry_budget::window_counts &shared_retry_budget::advanceWindow(const service_id &service, time_point now)
{
    window_counts &state = m_services[service];
    const duration width = std::max<duration>(m_limits.window / (BUCKETS - 1), duration(1));
    const std::int64_t bucket = now.time_since_epoch() / width;
    const std::int64_t bucketsPassed = std::min<std::int64_t>(bucket - state.bucket, BUCKETS);
    for (std::int64_t i = 1; i <= bucketsPassed; ++i) {
        const std::size_t slot = static_cast<std::size_t>(bucket - bucketsPassed + i) % BUCKETS;
        state.requestSum -= state.requests[slot];
        state.extraSum -= state.extras[slot];
        state.requests[slot] = 0;
        state.extras[slot] = 0;
    }
    state.bucket = std::max(state.bucket, bucket);
    return state;
}

} // namespace snipefall
