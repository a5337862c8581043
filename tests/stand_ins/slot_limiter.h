#pragma once

#include <condition_variable>
#include <mutex>

#include "core/clock.h"

namespace snipefall {

/** Concurrency limiter of a fake backend server: a fixed number of slots, a bounded queue, and a capacity that ramps up after a cold start. */
class slot_limiter
{
public:
    enum class slot_result
    {
        entered,
        entered_over_capacity, ///< The request got a slot above the current warm-up capacity; the server is to answer it slowly.
        shed,
        expired, ///< The deadline passed while the request was queued.
        stopped,
    };

    slot_limiter(unsigned slots, unsigned queue);

    /** Waits for a free slot until @p deadline. Sheds the request at once if the queue is full. */
    slot_result enter(time_point deadline);
    void leave();
    /** Simulates a cold start: the capacity ramps up linearly from one slot at @p now to all slots after @p ramp. */
    void startWarmUp(time_point now, duration ramp);
    void stop();

    unsigned running() const;
    unsigned capacity(time_point now) const;
    /** Returns the highest number of requests that ran concurrently so far. */
    unsigned maxRunning() const;
    /** Returns the highest number of requests that ran, waited or arrived at the same time so far, including shed ones. */
    unsigned maxConcurrent() const;

private:
    unsigned capacityLocked(time_point now) const;

    const unsigned m_slots;
    const unsigned m_queue;
    mutable std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    unsigned m_running = 0;
    unsigned m_waiting = 0;
    unsigned m_maxRunning = 0;
    unsigned m_maxConcurrent = 0;
    time_point m_warmUpStart;
    duration m_warmUpDuration{0};
    bool m_stopped = false;
};

} // namespace snipefall
