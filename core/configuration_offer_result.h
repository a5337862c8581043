#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/invalid_field.h"

namespace snipefall {

/** The result of offering patches or a snapshot to a replica. */
struct configuration_offer_result
{
    config_version version; ///< The replica's version after the offer.
    std::size_t applied = 0; ///< Number of patches or snapshots that advanced the replica's version.
    std::optional<config_version> missing; ///< The next version that the replica lacks, if a gap before a newer patch of the offer stopped it.
    bool diverged = false; ///< The offer has different content for a version that the replica already has; one of the two is corrupt.
    /** Why the newest document failed validation, for example for a field of a later release; current() then stays at an older version. */
    std::vector<invalid_field> invalidFields;
};

} // namespace snipefall
