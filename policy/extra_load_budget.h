#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/clock.h"
#include "policy/extra_load_limits.h"

namespace snipefall {

/**
 * The token budget of one service for hedges and retries together.
 *
 * The cap holds for the second that ends at each granted token: its extra sub-requests, this one included, are at most
 * capPercent of its first sub-requests. Counting uses buckets of 10 ms; a bucket that lies partly outside of the second counts for
 * the extra sub-requests but not for the first ones, so rounding never exceeds the cap. Budgets of several threads may be
 * separate: when each keeps the cap, so does their sum.
 */
class extra_load_budget
{
public:
    explicit extra_load_budget(const extra_load_limits &limits = {});

    /** Counts first sub-requests that were sent at @p sentAt; a negative count takes back those that were not sent after all. */
    void countFirst(time_point sentAt, time_point now, std::int64_t count);
    /** Gives back a token taken at @p acquiredAt whose hedge or retry was not sent. */
    void revokeExtra(time_point acquiredAt, time_point now);
    /** Takes a token for one hedge or retry; false when there is none or the cap is reached. */
    bool tryAcquire(time_point now);

    /** Whole tokens left, without regard to the cap. */
    std::int64_t tokens() const;

private:
    static constexpr std::size_t SLOTS = 128;

    void advance(time_point now);
    void earn(std::int64_t units);

    extra_load_limits m_limits;
    std::int64_t m_units = 0; ///< Hundredths of a token.
    std::int64_t m_bucket = 0; ///< The number of the current bucket.
    std::int64_t m_firstSum = 0;
    std::int64_t m_extraSum = 0;
    std::array<std::int64_t, SLOTS> m_first{};
    std::array<std::int64_t, SLOTS> m_extra{};
};

} // namespace snipefall
