#pragma once

#include <cstdint>
#include <optional>

#include "policy/query_outcome.h"

namespace snipefall {

/** Result of one run of a query_runner. */
struct query_result
{
    std::optional<query_outcome> outcome; ///< Empty if the query must be restarted on a newer snapshot.
    std::uint64_t firstSubRequests = 0;
    std::uint64_t extraSubRequests = 0;
};

} // namespace snipefall
