#pragma once

#include <cstddef>

#include "core/clock.h"

namespace snipefall {

/**
 * This node's share of the request rate that a backend server takes from all nodes together.
 *
 * The share is divided into slots of equal length, each good for one request. A slot that isn't used expires after a time that is the same for all nodes:
 * otherwise each of them could save up requests, and all could send them together when the load rises. The nodes' slots are out of phase.
 */
class announced_rate_limit
{
public:
    /** Sets the rate of all nodes together. @p phase, from 0 to 1, is the part of a slot until the first request; it counts only if there was no limit. */
    void set(double requestsPerSecond, std::size_t nodes, double phase, time_point now);
    void setNodeCount(std::size_t nodes);
    /** Ends the limit. */
    void clear() { m_active = false; }

    bool isActive() const { return m_active; }
    double requestsPerSecond() const { return m_requestsPerSecond; }
    /** The length of this node's slots. */
    duration interval() const { return m_interval; }
    /** The earliest time, @p now or later, at which a request may be sent. */
    time_point availableAt(time_point now) const;
    /** Counts a request that is sent. */
    void take(time_point now);

private:
    void updateInterval();
    /** The start of the earliest slot that is unused and has not expired. */
    time_point nextSlot(time_point now) const;

    bool m_active = false;
    double m_requestsPerSecond = 0; ///< From all nodes together.
    std::size_t m_nodes = 1;
    duration m_interval{};
    duration m_validity{}; ///< How long a slot may be used from its start.
    time_point m_slotStart{}; ///< Start of the earliest unused slot, expired or not.
};

} // namespace snipefall
