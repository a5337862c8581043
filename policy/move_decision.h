#pragma once

#include <optional>
#include <string>

#include "policy/bad_version_fact.h"
#include "policy/move_record.h"

namespace snipefall {

enum class move_action
{
    none,
    grow,
    finish,
    roll_back,
};

/** What a node that drives a move does next. */
struct move_decision
{
    move_action action = move_action::none;
    move_record record; ///< The value to write; unset for none.
    object_version expected; ///< The version that the write must name.
    std::optional<bad_version_fact> fact; ///< Set with a fault: to be disseminated at once, whether or not the write succeeds.
    std::string reason; ///< Why, or what the move waits for.
};

} // namespace snipefall
