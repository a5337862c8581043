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

/** Admission control for one service: blocks the thread of a query until a permit is free or the query is refused. Thread-safe. */
class query_admission
{
public:
    /** Returns the number of queries that may currently run concurrently. */
    using permits_function = std::function<std::uint32_t()>;

    query_admission(std::size_t maxQueued, permits_function permits);

    /** Blocks until the query may start. Returns false if the query was refused and must not run. */
    bool enter(const caller_id &caller, time_point deadline);
    /** Reports the end of an admitted query; @p serviceTime is the time since enter() returned. */
    void leave(const caller_id &caller, duration serviceTime);

    std::size_t waiting() const;

private:
    enum class admission_state
    {
        waiting,
        started,
        refused,
    };

    /** Starts queued queries while permits are free. Called with the mutex held. */
    void startQueued(time_point now);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    permits_function m_permits;
    admission_queue m_queue;
    std::map<std::uint64_t, admission_state> m_states;
    std::uint64_t m_lastId = 0;
};

} // namespace snipefall
