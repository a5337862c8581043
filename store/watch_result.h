#pragma once

#include <cstdint>
#include <vector>

#include "store/object.h"

namespace snipefall {

/** What changed under a prefix since a revision of the store. */
struct watch_result
{
    std::uint64_t revision = 0; ///< The argument of the next watch.
    std::vector<object> objects; ///< Empty when the watch timed out.
};

} // namespace snipefall
