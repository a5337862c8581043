#pragma once

#include <cstdint>

#include "core/clock.h"

namespace snipefall {

/** When slow sub-requests are hedged, and how often a shard is sent. */
struct hedge_settings
{
    duration delay = std::chrono::milliseconds(50); ///< Age of the newest attempt at which a hedge is wanted; follows the measured p95.
    /**
     * Hedges are held back until at most this share of the shards is open, or the budget has tokens for the open shards
     * openTokenFactor times: tokens spent earlier go to shards that answer soon anyway, and are missing for stragglers.
     */
    double holdShare = 0.03;
    double openTokenFactor = 2;
    /** Hedges are held back for at most this many delays, so that a lost failure domain does not stop them for good. */
    double holdDelays = 1.5;
    std::uint8_t maxInFlight = 3; ///< Sub-requests of a shard at the same time.
    std::uint8_t maxSends = 4; ///< Sub-requests of a shard in all.
};

} // namespace snipefall
