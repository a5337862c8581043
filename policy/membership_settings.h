#pragma once

#include <cstddef>

#include "core/clock.h"

namespace snipefall {

/** Times of the membership protocol. */
struct membership_settings
{
    duration probeInterval = std::chrono::seconds(1);
    /** Above the slowest round trip between regions with scheduling delays. A probe is repeated after it, the last two times also through relays. */
    duration probeTimeout = std::chrono::milliseconds(250);
    std::size_t relays = 3;
    /** Shortest time to refute: 3 s lets a process that is stopped for 3 s do it, and the second part covers the spread of the refutation. */
    duration suspicionBase = std::chrono::seconds(3);
    duration suspicionPerDecade = std::chrono::seconds(1);
    /** A suspicion without confirmations lasts this many times longer. */
    double suspicionMaxFactor = 1.5;
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
