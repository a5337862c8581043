#pragma once

#include <optional>

#include "core/clock.h"
#include "policy/queued_query.h"

namespace snipefall {

/** What became of a query that was offered. All refused queries have not run. */
struct admission_result
{
    bool admitted = false;
    duration expectedWait{}; ///< Until the query would start.
    std::optional<queued_query> displaced; ///< Refused in its place: the newest query of the caller with the most queries waiting.
};

} // namespace snipefall
