#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/invalid_field.h"

namespace snipefall {

/** What a replica did with patches or a snapshot that it was offered. */
struct configuration_offer
{
    config_version version; ///< The replica's version afterwards.
    std::size_t applied = 0; ///< Patches or snapshots that moved the replica forward.
    std::optional<config_version> missing; ///< The first version that is needed before the newest offered patch can apply.
    bool diverged = false; ///< The offer holds other content for a version that the replica has; one of the two is corrupt.
    /** Why the newest document is not in force here, for example a field of a later release; current() is then older than the version. */
    std::vector<invalid_field> invalidFields;
};

} // namespace snipefall
