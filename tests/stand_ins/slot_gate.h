#pragma once

#include <condition_variable>
#include <mutex>

#include "core/clock.h"

namespace snipefall {

/** The slots of a stand-in backend server, with a short queue and a capacity that grows after a cold start. */
class slot_gate
{
public:
    enum class entry
    {
        entered,
        entered_cold, ///< Runs beyond the present capacity: the request is to be slow.
        shed,
        expired, ///< The deadline passed in the queue.
        stopped,
    };

    slot_gate(unsigned slots, unsigned queue);

    /** Waits for a slot until @p deadline. */
    entry enter(time_point deadline);
    void leave();
    /** Makes the capacity grow from one slot to all of them within @p ramp from @p now. */
    void turnCold(time_point now, duration ramp);
    void stop();

    unsigned running() const;
    unsigned capacity(time_point now) const;
    /** The highest numbers so far of requests that ran at the same time, and that ran or waited. */
    unsigned maxRunning() const;
    unsigned maxPresent() const;

private:
    unsigned capacityLocked(time_point now) const;

    const unsigned m_slots;
    const unsigned m_queue;
    mutable std::mutex m_mutex;
    std::condition_variable m_freed;
    unsigned m_running = 0;
    unsigned m_waiting = 0;
    unsigned m_maxRunning = 0;
    unsigned m_maxPresent = 0;
    time_point m_coldSince;
    duration m_ramp{0};
    bool m_stopped = false;
};

} // namespace snipefall
