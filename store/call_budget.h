#pragma once

#include <array>
#include <cstddef>

#include "core/clock.h"
#include "store/call_budget_options.h"
#include "store/call_kind.h"
#include "store/call_purpose.h"

namespace snipefall {

/**
 * Rate limiter for this node's share of the calls to the platform.
 *
 * Reads and writes each have a token bucket. Each purpose leaves a reserve in the bucket for the purposes of higher priority, so that statistics
 * are refused first and configuration last. After failures, calls of a purpose are refused with exponential backoff and jitter, separately for
 * reads and writes: a write whose response was lost is resolved by reading the object back at once. Not thread-safe.
 */
class call_budget
{
public:
    enum class decision
    {
        allowed,
        over_budget,
        backing_off,
    };

    call_budget(call_budget_options options, time_point now);

    /** Takes a token if a call for @p purpose is allowed at @p now. */
    decision tryAcquire(call_purpose purpose, call_kind kind, time_point now);
    /** Starts or extends the backoff after a failed call; @p random in [0, 1) is the jitter that spreads the retries of different nodes. */
    void recordFailure(call_purpose purpose, call_kind kind, time_point now, double random);
    void recordSuccess(call_purpose purpose, call_kind kind);
    /** Sets the number of live nodes that share the platform; tokens beyond the new capacity are dropped. */
    void setNodes(std::uint32_t nodes, time_point now);

    /** The end of the backoff for calls of this purpose and kind. */
    time_point backoffEnd(call_purpose purpose, call_kind kind) const { return m_backoffs[index(purpose)][index(kind)].until; }

private:
    struct bucket
    {
        double rate = 0; ///< Tokens per second.
        double capacity = 0;
        double tokens = 0;
        time_point lastRefill;
    };
    struct backoff
    {
        unsigned failures = 0;
        time_point until;
    };
    static constexpr std::size_t PURPOSES = static_cast<std::size_t>(call_purpose::account) + 1;
    static constexpr std::size_t KINDS = static_cast<std::size_t>(call_kind::write) + 1;
    static std::size_t index(call_purpose purpose) { return static_cast<std::size_t>(purpose); }
    static std::size_t index(call_kind kind) { return static_cast<std::size_t>(kind); }

    void resize(bucket &target, double platformRate) const;
    static void refill(bucket &target, time_point now);

    call_budget_options m_options;
    bucket m_reads;
    bucket m_writes;
    std::array<std::array<backoff, KINDS>, PURPOSES> m_backoffs;
};

} // namespace snipefall
