#pragma once

#include <cstddef>

#include "core/clock.h"

namespace snipefall {

/** Times of the membership protocol. */
struct membership_settings
{
    duration probeInterval = std::chrono::seconds(1);
    /** Above the slowest round trip between regions with scheduling delays; a relay gives up after the same time. */
    duration probeTimeout = std::chrono::milliseconds(300);
    std::size_t relays = 3;
    /** Multiplied by log10 of the size. 3 s lets a process that is stopped for 3 s refute its suspicion. */
    duration suspicionUnit = std::chrono::seconds(3);
    /** A suspicion without confirmations lasts this many times longer. */
    double suspicionMaxFactor = 2.0;
    std::size_t suspicionConfirmations = 3;
    /** Longest period between two ticks that isn't taken for a pause of this process. */
    duration pauseThreshold = std::chrono::milliseconds(700);
    /** Dead members are remembered and probed for longer than a split between regions lasts. */
    duration tombstoneRetention = std::chrono::hours(1);
    /** One dead member or unknown address is probed in this period. */
    duration recoveryInterval = std::chrono::seconds(5);
    /** Seeds are probed in this period while no peer is known. */
    duration joinInterval = std::chrono::seconds(1);
};

} // namespace snipefall
