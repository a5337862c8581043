#include "policy/query_admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "policy/request_route.h"
#include "policy/request_times.h"

namespace snipefall {

namespace {

/** Part of the target latency above which the response time counts as overload. */
constexpr double OVERLOAD_TARGET_PART = 0.75;
/** The same while queries are rejected: shorter queues leave more room for shards that fall behind. Applies in full from the given control value. */
constexpr double THROTTLED_TARGET_PART = 0.5;
constexpr double THROTTLED_CONTROL = 0.7;
/** Multiple of the lowest response time of late up to which it never counts as overload, for routes whose servers are slow without load. */
constexpr double UNLOADED_MULTIPLE = 1.6;
/** Everything is admitted below this control value, so that single slow queries don't cause rejections. */
constexpr double MIN_CONTROL = 0.15;
/** At the highest control value a tenth is still admitted: it shows when the servers have recovered. */
const double MAX_CONTROL = std::log(10.0);
constexpr double PROPORTIONAL_GAIN = 0.5;
/** Gains of the integral part, per second. */
constexpr double THROTTLE_GAIN = 2.5;
constexpr double RECOVERY_GAIN = 1.5;
/** Added to the gain of recovery in proportion to how far the response times are below the limit: near the limit fast recovery would overshoot. */
constexpr double IDLE_RECOVERY_GAIN = 5.0;
constexpr double MAX_EXCESS = 2.0;
/** Longest time between two responses that the integral part accounts for; longer for recovery, because a node that rejects most queries sees few responses. */
constexpr double MAX_THROTTLE_STEP_S = 0.5;
constexpr double MAX_RECOVERY_STEP_S = 2.0;
/** Time constant of the moving average, and the bounds of the weight of a single response. */
constexpr double AVERAGE_TIME_S = 0.1;
constexpr double MIN_SAMPLE_WEIGHT = 0.1;
constexpr double MAX_SAMPLE_WEIGHT = 0.6;
/** Older response times don't say how loaded the servers are now. */
constexpr duration MAX_RESPONSE_AGE = std::chrono::seconds(2);
/** Routes without queries for this long are forgotten, because the configuration may have dropped them. */
constexpr duration RETENTION = std::chrono::minutes(1);
/** Multiple of the average response time that is left for the answer to a caller who returns. */
constexpr int RESPONSE_MARGIN = 2;
/** The returns of rejected callers are spread from the latest time divided by this up to the latest time. */
constexpr int RETURN_SPREAD_DIVISOR = 4;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/** Whether what was last updated then still describes the load. */
bool isCurrent(const std::optional<time_point> &updated, time_point now)
{
    return updated && now - *updated <= MAX_RESPONSE_AGE;
}

} // namespace

query_admission::query_admission(std::uint64_t seed)
    : m_randomEngine(seed)
{
}

double query_admission::shard_group::admittedShare(time_point now) const
{
    if (!isCurrent(updated, now)) {
        return 1.0;
    }
    const double control = integral + proportional;
    return control < MIN_CONTROL ? 1.0 : std::exp(-std::min(control, MAX_CONTROL));
}

double query_admission::shard_group::excess(time_point now) const
{
    const double throttled = std::min(integral / THROTTLED_CONTROL, 1.0);
    const double targetPart = OVERLOAD_TARGET_PART + throttled * (THROTTLED_TARGET_PART - OVERLOAD_TARGET_PART);
    double highest = -1.0;
    for (const auto &[name, route] : routes) {
        if (!isCurrent(route.updated, now)) {
            continue;
        }
        const double limitUs = std::max(targetPart * static_cast<double>(route.target.count()), UNLOADED_MULTIPLE * route.unloadedUs.value(now).value_or(0.0));
        highest = std::max(highest, route.responseUs / limitUs - 1.0);
    }
    return std::min(highest, MAX_EXCESS);
}

const service_id &query_admission::keyOf(const request_route &route)
{
    return *std::min_element(route.shards.begin(), route.shards.end());
}

const query_admission::shard_group *query_admission::findGroup(const request_route &route) const
{
    const auto found = m_groups.find(keyOf(route));
    return found == m_groups.end() ? nullptr : &found->second;
}

bool query_admission::admit(const request_route &route, time_point now)
{
    const auto found = m_groups.find(keyOf(route));
    if (found == m_groups.end()) {
        return true;
    }
    shard_group &group = found->second;
    group.credit = std::min(group.credit + group.admittedShare(now), 2.0);
    if (group.credit < 1.0) {
        return false;
    }
    group.credit -= 1.0;
    return true;
}

void query_admission::recordResponse(const request_route &route, duration responseTime, time_point now)
{
    const auto [found, isNew] = m_groups.try_emplace(keyOf(route));
    shard_group &group = found->second;
    route_state &state = group.routes[route.name];
    const double weight =
        state.updated ? std::clamp(1.0 - std::exp(-seconds(now - *state.updated) / AVERAGE_TIME_S), MIN_SAMPLE_WEIGHT, MAX_SAMPLE_WEIGHT) : 1.0;
    state.responseUs += weight * (static_cast<double>(responseTime.count()) - state.responseUs);
    state.unloadedUs.record(state.responseUs, now);
    state.target = route.targetLatency;
    state.updated = now;

    const double excess = group.excess(now);
    const double elapsedS = group.updated ? seconds(now - *group.updated) : 0.0;
    const double change = excess > 0 ? THROTTLE_GAIN * std::min(elapsedS, MAX_THROTTLE_STEP_S)
                                     : (RECOVERY_GAIN - IDLE_RECOVERY_GAIN * excess) * std::min(elapsedS, MAX_RECOVERY_STEP_S);
    group.integral = std::clamp(group.integral + change * excess, 0.0, MAX_CONTROL);
    group.proportional = PROPORTIONAL_GAIN * excess;
    group.updated = now;

    const auto isForgotten = [now](const auto &item) { return now - *item.second.updated > RETENTION; };
    std::erase_if(group.routes, isForgotten);
    if (isNew) {
        std::erase_if(m_groups, isForgotten);
    }
}

std::size_t query_admission::routeCount() const
{
    return std::accumulate(m_groups.begin(), m_groups.end(), std::size_t(0), [](std::size_t sum, const auto &item) { return sum + item.second.routes.size(); });
}

bool query_admission::isThrottled(const request_route &route, time_point now) const
{
    const shard_group *group = findGroup(route);
    return group && group->admittedShare(now) < 1.0;
}

duration query_admission::retryAfter(const request_route &route, const request_times &times, time_point now)
{
    const duration acceptable = times.longestRetryAfter(now);
    const duration inTime = times.target - now - RESPONSE_MARGIN * expectedResponse(route);
    const duration latest = std::max(inTime > duration::zero() ? std::min(inTime, acceptable) : acceptable, duration(1));
    std::uniform_int_distribution<duration::rep> delay(latest.count() / RETURN_SPREAD_DIVISOR, latest.count());
    return duration(delay(m_randomEngine));
}

duration query_admission::expectedResponse(const request_route &route) const
{
    const shard_group *group = findGroup(route);
    if (!group) {
        return duration::zero();
    }
    const auto state = group->routes.find(route.name);
    return state == group->routes.end() ? duration::zero() : duration(static_cast<duration::rep>(state->second.responseUs));
}

} // namespace snipefall
