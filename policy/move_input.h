#pragma once

#include <cstdint>
#include <vector>

#include "policy/bad_version_fact.h"
#include "policy/move_observations.h"
#include "policy/move_record.h"
#include "policy/warm_up_state.h"

namespace snipefall {

/** All that a decision on a move depends on. */
struct move_input
{
    move_record record;
    object_version version; ///< The object version at which the record was read.
    move_observations observations; ///< Of this node and its peers.
    warm_up_state warmUp;
    std::vector<bad_version_fact> facts; ///< May hold facts of other moves and the same fact several times.
    std::uint64_t nowMs = 0; ///< Wall clock; the clocks of nodes differ by at most MAX_CLOCK_SKEW_MS.
};

} // namespace snipefall
