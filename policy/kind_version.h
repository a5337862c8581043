#pragma once

#include <cstdint>

#include "core/ids.h"

namespace snipefall {

/** Identifies the state of all store objects of one kind. */
struct kind_version
{
    object_version completeTo; ///< All changes up to this store revision are in the state; 0 if nothing is said of the kind.
    std::uint64_t digest = 0; ///< Digest of the names and revisions of all objects of the kind.
};

} // namespace snipefall
