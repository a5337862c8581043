#pragma once

#include <cstdint>

#include "core/ids.h"
#include "policy/closing_state.h"

namespace snipefall {

/** One state transition in the history of a closing_record, and the node that wrote it. */
struct closing_step
{
    closing_state state = closing_state::open; ///< The state that was entered.
    std::uint64_t atMs = 0; ///< Wall clock time in milliseconds.
    node_id node;

    bool operator==(const closing_step &) const = default;
};

} // namespace snipefall
