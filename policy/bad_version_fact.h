#pragma once

#include <string>

#include "core/ids.h"

namespace snipefall {

/** Gossiped notice that the new version of a move is faulty; every node that has received it stops sending requests to that version. */
struct bad_version_fact
{
    service_id service;
    version_id version; ///< Empty in a notice that takes back an earlier one of the same move.
    std::string moveId; ///< The only move that the fact applies to; a repaired build may use the same version name in a later move.
    std::string reason;

    bool operator==(const bad_version_fact &) const = default;
};

} // namespace snipefall
