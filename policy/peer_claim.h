#pragma once

#include <optional>

#include "core/clock.h"
#include "policy/catch_up.h"
#include "policy/kind_version.h"

namespace snipefall {

/** What the newest read of a peer says of one kind of store objects, and what this node has done since it found itself behind. */
struct peer_claim
{
    kind_version version;
    time_point asOf; ///< When the peer's read began.
    std::optional<time_point> lastStepAt; ///< Of the last step to catch up, or when the node fell behind; nothing if it isn't behind.
    catch_up lastStep = catch_up::none;
};

} // namespace snipefall
