#pragma once

#include <optional>
#include <string_view>

namespace snipefall {

/** The recorded state of a move between versions. */
enum class move_state
{
    canary, ///< At the first share.
    growing,
    done, ///< The new version serves all queries; a fault in the observation period still rolls the move back.
    rolled_back, ///< Final: the old version serves all queries.
};

std::string_view toString(move_state state);
std::optional<move_state> parseMoveState(std::string_view text);

} // namespace snipefall
