#pragma once

#include <string>

#include "core/ids.h"

namespace snipefall {

/** A node's finding that the new version of a move is faulty; every node that holds it sends nothing more to that version. */
struct bad_version_fact
{
    service_id service;
    version_id version;
    std::string moveId; ///< The fact holds for this move only: a repaired build may use the same version again in a new move.
    std::string reason;

    bool operator==(const bad_version_fact &) const = default;
};

} // namespace snipefall
