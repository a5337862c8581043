#pragma once

#include <optional>
#include <string_view>

namespace snipefall {

/** The recorded state of a move, the staged rollout of a new version. */
enum class move_state
{
    canary, ///< The new version serves the first, small share of the queries.
    growing, ///< The share of the new version is raised step by step.
    done, ///< The new version serves all queries; a fault in the observation period still rolls the move back.
    rolled_back, ///< Final: the old version serves all queries.
};

std::string_view toString(move_state state);
std::optional<move_state> parseMoveState(std::string_view text);

} // namespace snipefall
