#pragma once

#include <cstdint>

#include "core/ids.h"
#include "policy/closing_state.h"

namespace snipefall {

/** A state that a closing entered, and the node that recorded it. */
struct closing_step
{
    closing_state state = closing_state::open;
    std::uint64_t atMs = 0; ///< Wall clock milliseconds.
    node_id node;

    bool operator==(const closing_step &) const = default;
};

} // namespace snipefall
