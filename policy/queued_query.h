#pragma once

#include <cstdint>

#include "core/clock.h"
#include "core/ids.h"

namespace snipefall {

/** A query that waits for a permit. */
struct queued_query
{
    std::uint64_t id = 0; ///< Assigned by the node; identifies the query in later calls of admission_queue.
    caller_id caller;
    time_point deadline; ///< The query must have finished by then.
};

} // namespace snipefall
