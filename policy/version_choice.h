#pragma once

#include <cstdint>
#include <string_view>

#include "core/ids.h"

namespace snipefall {

/** Why a query is served by its version. */
enum class version_reason : std::uint8_t
{
    configured, ///< No move is known, or the configuration names a version that is no part of the newest move.
    move_share, ///< The query belongs to the share of the new version.
    move_remainder, ///< The query does not belong to the share of the new version.
    move_done, ///< The move is done.
    rolled_back, ///< The move is rolled back, or its deadline passed before it was done.
    bad_version, ///< This node found or heard of a fault of the new version.
    not_yet_known, ///< The move's record can't be read, and its deadline has passed.
};

/** The version that serves a query. */
struct version_choice
{
    version_id version;
    version_reason reason = version_reason::configured;
};

/** The stable name of a reason, as used in answers. */
std::string_view toString(version_reason reason);

} // namespace snipefall
