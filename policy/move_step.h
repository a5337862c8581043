#pragma once

#include <cstdint>

#include "policy/move_state.h"

namespace snipefall {

/** One step in the history of a move_record: a state and share, and when they were set. */
struct move_step
{
    move_state state = move_state::canary;
    std::uint32_t sharePercent = 0;
    std::uint64_t startedMs = 0; ///< Wall clock time in milliseconds of the node that wrote the step.

    bool operator==(const move_step &) const = default;
};

} // namespace snipefall
