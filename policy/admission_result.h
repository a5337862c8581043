#pragma once

#include <optional>

#include "core/clock.h"
#include "policy/queued_query.h"

namespace snipefall {

/** The result of admission_queue::offer(). A query that is refused or displaced has not run. */
struct admission_result
{
    bool admitted = false;
    duration expectedWait{}; ///< Estimated time until the query starts, also set when it is refused; 0 without permits.
    std::optional<queued_query> displaced; ///< Removed from the full queue to make room: the newest query of the caller with the most queries waiting.
};

} // namespace snipefall
