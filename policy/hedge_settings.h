#pragma once

#include <cstdint>

#include "core/clock.h"

namespace snipefall {

/** Settings for when slow sub-requests are hedged, and bounds on the sub-requests of a shard. */
struct hedge_settings
{
    duration delay = std::chrono::milliseconds(50); ///< Age of a shard's newest sub-request at which a hedge is due; set from the measured p95 latency.
    /**
     * Hedges are held back until at most this share of the shards is still open, or the budget has tokensPerOpenShard tokens for each open shard.
     * Tokens spent earlier would go to shards that answer soon anyway, and would then be missing for stragglers.
     */
    double maxOpenShare = 0.03;
    double tokensPerOpenShard = 2; ///< Tokens per open shard at which hedges are no longer held back.
    /** Longest time that hedges are held back, in multiples of delay, so that the loss of a failure domain does not hold them back until the deadline. */
    double maxHoldDelays = 1.5;
    std::uint8_t maxInFlight = 3; ///< Bound on the sub-requests of a shard in flight at the same time.
    std::uint8_t maxSends = 4; ///< Bound on the sub-requests sent for a shard over the whole query.
};

} // namespace snipefall
