#pragma once

#include <cstdint>
#include <vector>

#include "store/object.h"

namespace snipefall {

/** The objects under a key prefix that changed after a given store revision. */
struct watch_result
{
    std::uint64_t revision = 0; ///< Store revision to pass to the next watch as the revision to start after.
    std::vector<object> objects; ///< Empty when the watch timed out.
};

} // namespace snipefall
