#include "policy/shared_retry_budget.h"

#include <algorithm>

namespace snipefall {

namespace {

/** Part of the node's share that is used; the rest covers requests of which the platform and this node disagree about the window they fall into. */
constexpr double SAFETY = 0.9;
/** Part of the slack that all nodes use together; a restarted node has forgotten what it sent and takes its share again. */
constexpr double SLACK_USE = 0.5;
/** Part of the budget that hedges may use. */
constexpr double HEDGE_PART = 0.75;

} // namespace

void shared_retry_budget::setLimits(const shared_retry_limits &limits, std::size_t nodes)
{
    m_limits = limits;
    m_slackShare = SLACK_USE * limits.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
}

void shared_retry_budget::countRequest(const service_id &service, time_point now)
{
    counts &state = advanced(service, now);
    ++state.requests[static_cast<std::size_t>(state.bucket) % BUCKETS];
    ++state.requestSum;
}

bool shared_retry_budget::tryAcquire(const service_id &service, extra_send purpose, time_point now)
{
    counts &state = advanced(service, now);
    const double allowed = SAFETY * m_limits.ratio * static_cast<double>(state.requestSum) + m_slackShare;
    const double usable = purpose == extra_send::hedge ? HEDGE_PART * allowed : allowed;
    if (static_cast<double>(state.extraSum + 1) > usable) {
        return false;
    }
    ++state.extras[static_cast<std::size_t>(state.bucket) % BUCKETS];
    ++state.extraSum;
    return true;
}

shared_retry_budget::counts &shared_retry_budget::advanced(const service_id &service, time_point now)
{
    counts &state = m_services[service];
    const duration width = std::max<duration>(m_limits.window / (BUCKETS - 1), duration(1));
    const std::int64_t bucket = now.time_since_epoch() / width;
    const std::int64_t passed = std::min<std::int64_t>(bucket - state.bucket, BUCKETS);
    for (std::int64_t i = 1; i <= passed; ++i) {
        const std::size_t slot = static_cast<std::size_t>(bucket - passed + i) % BUCKETS;
        state.requestSum -= state.requests[slot];
        state.extraSum -= state.extras[slot];
        state.requests[slot] = 0;
        state.extras[slot] = 0;
    }
    state.bucket = std::max(state.bucket, bucket);
    return state;
}

} // namespace snipefall
