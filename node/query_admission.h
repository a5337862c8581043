#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/admission_queue.h"

namespace snipefall {

/** Lets the threads of one service's queries wait for their turn. Thread-safe. */
class query_admission
{
public:
    /** The number of queries that may run at the same time now. */
    using permits_function = std::function<std::uint32_t()>;

    query_admission(std::size_t maxQueued, permits_function permits);

    /** Waits for the query's turn. False means that it is refused and has not run. */
    bool enter(const caller_id &caller, time_point deadline);
    /** The query has ended; @p serviceTime is the time since enter() returned. */
    void leave(const caller_id &caller, duration serviceTime);

    std::size_t waiting() const;

private:
    enum class turn
    {
        waiting,
        started,
        refused,
    };

    /** Gives out free permits. Called with the mutex held. */
    void startNext(time_point now);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    permits_function m_permits;
    admission_queue m_queue;
    std::map<std::uint64_t, turn> m_turns;
    std::uint64_t m_lastId = 0;
};

} // namespace snipefall
