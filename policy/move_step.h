#pragma once

#include <cstdint>

#include "policy/move_state.h"

namespace snipefall {

/** One entry of a move's history. */
struct move_step
{
    move_state state = move_state::canary;
    std::uint32_t sharePercent = 0;
    std::uint64_t startedMs = 0; ///< Wall clock of the node that wrote the step.

    bool operator==(const move_step &) const = default;
};

} // namespace snipefall
