#pragma once

#include <cstdint>

#include "policy/recovery/store_position.h"

namespace snipefall {

/** Identifies the state of all store objects of one kind. */
struct kind_version
{
    store_position completeTo; ///< All changes up to this position are in the state; none if nothing is said of the kind.
    std::uint64_t digest = 0; ///< Digest of the names and revisions of all objects of the kind.
};

} // namespace snipefall
