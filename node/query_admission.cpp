#include "node/query_admission.h"

namespace snipefall {

namespace {

constexpr duration INITIAL_SERVICE_TIME = std::chrono::milliseconds(50);
// The number of permits may change without a query ending, so waiting threads check it at this interval.
constexpr std::chrono::milliseconds PERMIT_CHECK_INTERVAL{20};

} // namespace

query_admission::query_admission(std::size_t maxQueued, permits_function permits)
    : m_permits(std::move(permits))
    , m_queue(maxQueued, INITIAL_SERVICE_TIME)
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
        m_states[offered.displaced->id] = admission_state::refused;
        m_changed.notify_all();
    }
    admission_state &state = m_states.emplace(query.id, admission_state::waiting).first->second;
    startQueued(now);
    while (state == admission_state::waiting) {
        m_changed.wait_for(lock, PERMIT_CHECK_INTERVAL);
        startQueued(system_clock().now());
        // Without permits startQueued() removes nothing from the queue, not even expired queries, so an expired query cancels itself.
        if (state == admission_state::waiting && system_clock().now() >= deadline) {
            m_queue.cancel(query.id);
            state = admission_state::refused;
        }
    }
    const bool started = state == admission_state::started;
    m_states.erase(query.id);
    return started;
}

void query_admission::leave(const caller_id &caller, duration serviceTime)
{
    const std::lock_guard lock(m_mutex);
    m_queue.finished(caller, serviceTime);
    startQueued(system_clock().now());
}

void query_admission::startQueued(time_point now)
{
    while (m_queue.running() < m_permits() && m_queue.waiting() > 0) {
        const admission_dispatch next = m_queue.next(now);
        for (const queued_query &refused : next.refused) {
            m_states[refused.id] = admission_state::refused;
        }
        if (next.start) {
            m_states[next.start->id] = admission_state::started;
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
