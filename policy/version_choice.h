#pragma once

#include <cstdint>
#include <string_view>

#include "core/ids.h"

namespace snipefall {

/** Why a query is served by the selected version. */
enum class version_reason : std::uint8_t
{
    configured, ///< No move is known, or the configured version is not one of the two versions of the newest move.
    move_share, ///< The move is running, and the query falls into the new version's share.
    move_remainder, ///< The move is running, and the query falls outside of the new version's share.
    move_done, ///< The move is done.
    rolled_back, ///< The move is rolled back, or its deadline passed before it was done.
    bad_version, ///< This node has detected a fault of the new version or received a report of one.
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
