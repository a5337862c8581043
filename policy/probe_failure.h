#pragma once

#include <cstddef>

#include "core/ids.h"

namespace snipefall {

/** A probe of a member that ended without an answer of that member. */
struct probe_failure
{
    node_id target;
    std::size_t relayRequests = 0; ///< How many requests to ping the member were sent to relays.
    std::size_t relayAnswers = 0; ///< How many of these requests were answered, all of them with a nack.
    int healthPenalty = 0; ///< membership::healthPenalty() after the probe.
};

} // namespace snipefall
