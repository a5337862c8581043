#pragma once

#include <optional>
#include <string>

#include "policy/bad_version_fact.h"
#include "policy/move_record.h"

namespace snipefall {

/** The change that a node makes to a move. */
enum class move_action
{
    none, ///< No change; wait.
    raise_share, ///< Raise the share of the new version.
    finish, ///< Record the move as done.
    roll_back, ///< Return all requests to the old version.
};

/** The next action on a move, with the record to write for it. */
struct move_decision
{
    move_action action = move_action::none;
    move_record record; ///< The record to write; default-constructed for action none.
    object_version expected; ///< The object version that the conditional write must expect.
    std::optional<bad_version_fact> fact; ///< Set when a fault was found; it must be gossiped at once, whether or not the write succeeds.
    std::string reason; ///< The reason for the action or, for none, what the move waits for.
};

} // namespace snipefall
