#pragma once

#include "core/ids.h"

namespace snipefall {

/** How the requests of a service are divided between the version that a move leads to and all others. */
struct version_share
{
    version_id target;
    double share = 0; ///< Of the requests that the target gets, from 0 to 1.
    bool targetMayReplaceOthers = false; ///< The target also gets requests for which no server of another version is left.

    bool operator==(const version_share &) const = default;
};

} // namespace snipefall
