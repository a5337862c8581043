#pragma once

#include <cstdint>
#include <vector>

#include "policy/bad_version_fact.h"
#include "policy/move_observations.h"
#include "policy/move_record.h"
#include "policy/warm_up_state.h"

namespace snipefall {

/** The input of move_controller::decide(). */
struct move_input
{
    move_record record;
    object_version version; ///< The object version at which the record was read.
    move_observations observations; ///< The merged observations of this node and its peers.
    warm_up_state warmUp; ///< How many backend servers of the new version are still in slow start.
    std::vector<bad_version_fact> facts; ///< Known bad_version facts; may include facts about other moves and duplicates.
    std::uint64_t nowMs = 0; ///< Wall clock time; the clocks of two nodes differ by at most MAX_CLOCK_SKEW_MS.
};

} // namespace snipefall
