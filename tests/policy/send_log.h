#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace snipefall {

/** Exact times of the sub-requests actually sent, against which the extra_load_budget is checked. */
struct send_log
{
    std::vector<std::pair<time_point, std::int64_t>> firsts; ///< Send times of first sub-requests, with their number.
    std::vector<time_point> extras; ///< Send times of hedges and retries.

    /** Whether the extra sub-requests are at most 10% of the first ones in the second that ends at @p end. */
    bool withinCap(time_point end) const
    {
        std::int64_t room = 0;
        for (const auto &[when, count] : firsts) {
            room += when > end - std::chrono::seconds(1) && when <= end ? count : 0;
        }
        for (const time_point when : extras) {
            room -= when > end - std::chrono::seconds(1) && when <= end ? 10 : 0;
        }
        return room >= 0;
    }
};

} // namespace snipefall
