#pragma once

#include <cstddef>

#include "policy/membership_settings.h"

namespace snipefall {

/** Limits of the datagrams between nodes. */
struct gossip_settings
{
    membership_settings membership;
    /** Period in which news is sent while there is any: with a fanout of 3, 470 nodes are reached in about 5 periods. */
    duration newsInterval = std::chrono::milliseconds(200);
    std::size_t fanout = 3;
    /** Payload of a datagram; leaves 200 of 1,200 bytes to the envelope. */
    std::size_t payloadBytes = 1000;
    /** Mean rate of all datagrams; above it, news and syncs wait, probes don't. The target is 4 KB/s in total. */
    double bytesPerSecond = 3000;
    /** Covers a common start or the end of a split at 470 nodes, which takes about 200 KB a node once. */
    double burstBytes = 200000;
    /** A difference of digests is only pulled when it lasts this long, because most differences are news on its way. */
    duration pullDelay = std::chrono::seconds(1);
    /** Facts have to be everywhere within 2 s, so their differences are pulled as soon as most of the push is over. */
    duration factPullDelay = std::chrono::milliseconds(400);
    duration pullInterval = std::chrono::milliseconds(400);
    /** A node whose own state keeps changing pulls after this time. */
    duration pullLatest = std::chrono::seconds(3);
    /** Period of pulls of a node that has just started. */
    duration joinPullInterval = std::chrono::milliseconds(200);
    duration joinPhase = std::chrono::seconds(10);
};

} // namespace snipefall
