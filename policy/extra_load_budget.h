#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/clock.h"
#include "policy/extra_load_limits.h"

namespace snipefall {

/**
 * Token budget of one service for hedges and retries together.
 *
 * First sub-requests earn tokens, and each hedge or retry takes one. In addition, a cap applies to the second that ends at each granted token: its extra
 * sub-requests, including this one, are at most extra_load_limits::capPercent of its first sub-requests. Sub-requests are counted in buckets of 10 ms.
 * A bucket that lies partly outside of the second counts for the extra sub-requests but not for the first ones, so rounding never exceeds the cap.
 * Several threads may use separate budgets: if each keeps the cap, so does their sum.
 */
class extra_load_budget
{
public:
    explicit extra_load_budget(const extra_load_limits &limits = {});

    /** Counts first sub-requests sent at @p sentAt; a negative @p count reverts those that were not sent after all. */
    void countFirst(time_point sentAt, time_point now, std::int64_t count);
    /** Returns a token taken at @p acquiredAt whose hedge or retry was not sent. */
    void revokeExtra(time_point acquiredAt, time_point now);
    /** Takes a token for one hedge or retry; returns false if there is none or the cap is reached. */
    bool tryAcquire(time_point now);

    /** Number of whole tokens available, regardless of the cap. */
    std::int64_t tokens() const;

private:
    static constexpr std::size_t SLOTS = 128;

    void advance(time_point now);
    void earn(std::int64_t units);

    extra_load_limits m_limits;
    std::int64_t m_tokenUnits = 0; ///< Available tokens, in hundredths of a token.
    std::int64_t m_bucket = 0; ///< Number of the current bucket since the epoch.
    std::int64_t m_firstSum = 0;
    std::int64_t m_extraSum = 0;
    std::array<std::int64_t, SLOTS> m_firstCounts{};
    std::array<std::int64_t, SLOTS> m_extraCounts{};
};

} // namespace snipefall
