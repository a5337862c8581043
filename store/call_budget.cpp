#include "store/call_budget.h"

#include <algorithm>
#include <cmath>

namespace snipefall {

namespace {

// With a smaller bucket, the reserves for purposes of higher priority would be less than one call.
constexpr double MIN_CAPACITY = 10;
// The fraction of the bucket that each purpose, in the order of call_purpose, reserves for the purposes of higher priority.
constexpr double RESERVED_SHARES[] = {0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6};
// Tolerance, so that a rounding error in the sum of small refills does not withhold a whole token.
constexpr double ROUNDING_ERROR = 1e-9;

} // namespace

call_budget::call_budget(call_budget_options options, time_point now)
    : m_options(options)
{
    resize(m_reads, m_options.platformReadsPerSecond);
    resize(m_writes, m_options.platformWritesPerSecond);
    for (bucket *target : {&m_reads, &m_writes}) {
        target->tokens = target->capacity;
        target->lastRefill = now;
    }
}

call_budget::decision call_budget::tryAcquire(call_purpose purpose, call_kind kind, time_point now)
{
    const backoff &state = m_backoffs[index(purpose)][index(kind)];
    if (state.failures > 0 && now < state.until) {
        return decision::backing_off;
    }
    bucket &source = kind == call_kind::write ? m_writes : m_reads;
    refill(source, now);
    if (source.tokens - 1 + ROUNDING_ERROR < RESERVED_SHARES[index(purpose)] * source.capacity) {
        return decision::over_budget;
    }
    source.tokens -= 1;
    return decision::allowed;
}

void call_budget::recordFailure(call_purpose purpose, call_kind kind, time_point now, double random)
{
    backoff &state = m_backoffs[index(purpose)][index(kind)];
    if (state.failures > 0 && now < state.until) {
        return; // Failures of calls that were already in flight when the backoff began count once.
    }
    const double maximum = static_cast<double>(m_options.maxBackoff.count());
    const double exponential = static_cast<double>(m_options.initialBackoff.count()) * std::exp2(std::min(state.failures, 30U));
    ++state.failures;
    // Only half of the backoff is jittered, so that no node retries immediately.
    state.until = now + duration(static_cast<duration::rep>(std::min(exponential, maximum) * (0.5 + 0.5 * std::clamp(random, 0.0, 1.0))));
}

void call_budget::recordSuccess(call_purpose purpose, call_kind kind)
{
    m_backoffs[index(purpose)][index(kind)] = {};
}

void call_budget::setNodes(std::uint32_t nodes, time_point now)
{
    m_options.nodes = nodes;
    refill(m_reads, now);
    refill(m_writes, now);
    resize(m_reads, m_options.platformReadsPerSecond);
    resize(m_writes, m_options.platformWritesPerSecond);
}

void call_budget::resize(bucket &target, double platformRate) const
{
    target.rate = platformRate / std::max(1U, m_options.nodes);
    target.capacity = std::max(MIN_CAPACITY, target.rate * std::chrono::duration<double>(m_options.burst).count());
    target.tokens = std::min(target.tokens, target.capacity);
}

void call_budget::refill(bucket &target, time_point now)
{
    if (now <= target.lastRefill) {
        return;
    }
    target.tokens = std::min(target.capacity, target.tokens + target.rate * std::chrono::duration<double>(now - target.lastRefill).count());
    target.lastRefill = now;
}

} // namespace snipefall
