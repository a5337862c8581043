#pragma once

#include <optional>
#include <vector>

#include "policy/queued_query.h"

namespace snipefall {

/** What to do when a permit is free. */
struct admission_next
{
    std::optional<queued_query> start;
    std::vector<queued_query> refused; ///< Can no longer finish by their deadlines.
};

} // namespace snipefall
