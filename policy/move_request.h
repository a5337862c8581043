#pragma once

#include <cstdint>
#include <string>

#include "core/ids.h"

namespace snipefall {

/** An operator's request to start a move. */
struct move_request
{
    std::string moveId;
    service_id service;
    version_id from;
    version_id to;
    std::uint32_t firstSharePercent = 5; ///< Percentage of the queries in the first step, 1 to 5.
    std::uint64_t deadlineMs = 0; ///< Wall clock time; a move that isn't recorded as done by then is rolled back.
    std::uint64_t observationMs = 0; ///< Time after done during which a fault still rolls the move back.
    std::string author;
    std::string reason;
};

} // namespace snipefall
