#pragma once

#include <set>

#include "core/ids.h"

namespace snipefall {

/** The traffic split of a service between the target version of a move and all other versions. Without a move, the target is empty. */
struct version_share
{
    version_id target;
    double share = 0; ///< Share of the requests that the target gets, from 0 to 1.
    bool targetServesFallback = false; ///< The target also gets the other requests if no server of another version is available.
    std::set<version_id> stopped; ///< Versions that were found to be faulty and get no requests.

    bool operator==(const version_share &) const = default;
};

} // namespace snipefall
