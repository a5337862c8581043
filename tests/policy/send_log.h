#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace snipefall {

/** The exact times of sub-requests that were really sent, to check the load budget against. */
struct send_log
{
    std::vector<std::pair<time_point, std::int64_t>> firsts;
    std::vector<time_point> extras;

    /** Whether the extra sub-requests of the second that ends at @p end are at most 10% of its first ones. */
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
