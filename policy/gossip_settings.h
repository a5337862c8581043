#pragma once

#include <cstddef>

#include "policy/membership_settings.h"

namespace snipefall {

/** Intervals, sizes and rates of the gossip between nodes. */
struct gossip_settings
{
    membership_settings membership;
    /** Interval between broadcasts while updates are pending. With a fanout of 3, an update reaches 470 nodes in about 5 intervals. */
    duration broadcastInterval = std::chrono::milliseconds(200);
    /** Number of random members that each broadcast is sent to. */
    std::size_t fanout = 3;
    /** Maximum payload of a datagram. A datagram has at most 1,200 bytes, of which 200 are left for the envelope. */
    std::size_t payloadBytes = 1000;
    /** Mean send rate of a node. Above it, broadcasts and syncs are held back while probes are still sent, so that the total stays within 4 KB/s. */
    double bytesPerSecond = 3000;
    /** Burst above the mean rate. When 470 nodes start together or a network partition heals, each node sends about 200 KB once. */
    double burstBytes = 200000;
    /** How long member digests must differ before a pull, because most differences are updates still being broadcast. */
    duration pullDelay = std::chrono::seconds(1);
    /** How long fact digests must differ before a pull. Facts must reach all nodes within 2 s, so this is just longer than most of a broadcast takes. */
    duration factPullDelay = std::chrono::milliseconds(400);
    /** Shortest time between two pulls of a node. */
    duration pullInterval = std::chrono::milliseconds(400);
    /** A node pulls at the latest after digests have differed for this long, even while its own state keeps changing. */
    duration maxPullDelay = std::chrono::seconds(3);
    /** Shortest time between two pulls of a node that is joining. */
    duration joinPullInterval = std::chrono::milliseconds(200);
    /** A node counts as joining for this long after its first tick. */
    duration joinPhase = std::chrono::seconds(10);
};

} // namespace snipefall
