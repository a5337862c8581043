#include "node/query_admission.h"

namespace snipefall {

namespace {

constexpr duration FIRST_SERVICE_TIME = std::chrono::milliseconds(50);
// The number of permits also changes without a query ending, so waiting threads look again after this time.
constexpr std::chrono::milliseconds PERMIT_CHECK_INTERVAL{20};

} // namespace

query_admission::query_admission(std::size_t maxQueued, permits_function permits)
    : m_permits(std::move(permits))
    , m_queue(maxQueued, FIRST_SERVICE_TIME)
{
}

bool query_admission::enter(const caller_id &caller, time_point deadline)
{
    std::unique_lock lock(m_mutex);
    const time_point now = system_clock().now();
    const queued_query query{++m_lastId, caller, deadline};
    const admission_result offered = m_queue.offer(query, m_permits(), now);
    if (!offered.admitted) {
        return false;
    }
    if (offered.displaced) {
        m_turns[offered.displaced->id] = turn::refused;
        m_changed.notify_all();
    }
    turn &mine = m_turns.emplace(query.id, turn::waiting).first->second;
    startNext(now);
    while (mine == turn::waiting) {
        m_changed.wait_for(lock, PERMIT_CHECK_INTERVAL);
        startNext(system_clock().now());
        // Without permits nothing is taken from the queue, not even what is too late.
        if (mine == turn::waiting && system_clock().now() >= deadline) {
            m_queue.cancel(query.id);
            mine = turn::refused;
        }
    }
    const bool started = mine == turn::started;
    m_turns.erase(query.id);
    return started;
}

void query_admission::leave(const caller_id &caller, duration serviceTime)
{
    const std::lock_guard lock(m_mutex);
    m_queue.finished(caller, serviceTime);
    startNext(system_clock().now());
}

void query_admission::startNext(time_point now)
{
    while (m_queue.running() < m_permits() && m_queue.waiting() > 0) {
        const admission_dispatch next = m_queue.next(now);
        for (const queued_query &refused : next.refused) {
            m_turns[refused.id] = turn::refused;
        }
        if (next.start) {
            m_turns[next.start->id] = turn::started;
        }
        if (!next.start && next.refused.empty()) {
            break;
        }
    }
    m_changed.notify_all();
}

std::size_t query_admission::waiting() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.waiting();
}

} // namespace snipefall
