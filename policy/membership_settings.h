#pragma once

#include <cstddef>

#include "core/clock.h"

namespace snipefall {

/** Intervals and limits of the membership protocol. */
struct membership_settings
{
    /** Interval between probes; one member is probed in each. */
    duration probeInterval = std::chrono::seconds(1);
    /**
     * How long to wait for an answer before a ping is repeated; the last two attempts also go through relays.
     *
     * Exceeds the slowest round trip between regions plus scheduling delays.
     */
    duration probeTimeout = std::chrono::milliseconds(250);
    /** Number of relays that are asked for each indirect attempt. */
    std::size_t relays = 3;
    /** Shortest suspicion timeout. The 3 s allow a process that was stopped for 3 s to refute; suspicionPerDecade is the time for its refutation to spread. */
    duration suspicionBase = std::chrono::seconds(3);
    /** Added to the timeout for each factor of 10 in the number of members. */
    duration suspicionPerDecade = std::chrono::seconds(1);
    /** Ratio of the timeout without confirmations to the shortest one. */
    double suspicionMaxFactor = 1.5;
    /** Number of confirmations that reduce the timeout to the shortest one. */
    std::size_t suspicionConfirmations = 3;
    /** A gap between two ticks of at least this length counts as a pause of this process. */
    duration pauseThreshold = std::chrono::milliseconds(700);
    /** How long dead members are kept and probed. Longer than a network partition between regions lasts. */
    duration tombstoneRetention = std::chrono::hours(1);
    /** Interval between probes of dead members or of addresses without a known member. */
    duration reconnectInterval = std::chrono::seconds(5);
    /** Interval between probes of seeds while no live member is known. */
    duration joinInterval = std::chrono::seconds(1);
};

} // namespace snipefall
