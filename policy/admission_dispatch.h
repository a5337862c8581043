#pragma once

#include <optional>
#include <vector>

#include "policy/queued_query.h"

namespace snipefall {

/** The queries that leave an admission_queue when a permit becomes free. */
struct admission_dispatch
{
    std::optional<queued_query> start; ///< The query to run; nothing if no waiting query can meet its deadline.
    std::vector<queued_query> refused; ///< Removed without having run because they can no longer finish before their deadlines.
};

} // namespace snipefall
