#pragma once

#include <cstdint>

#include "core/clock.h"
#include "core/ids.h"

namespace snipefall {

/** A query that waits for permits. */
struct queued_query
{
    std::uint64_t id = 0; ///< Chosen by the node; names the query in later calls.
    caller_id caller;
    time_point deadline;
};

} // namespace snipefall
