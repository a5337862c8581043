#pragma once

#include "core/ids.h"

namespace snipefall {

/** How much of a service's traffic goes to the version that it is being moved to. */
struct version_share
{
    version_id target;
    double share = 0; ///< 0 to 1.
};

} // namespace snipefall
