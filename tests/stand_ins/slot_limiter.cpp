#include "tests/stand_ins/slot_limiter.h"

#include <algorithm>

namespace snipefall {

slot_limiter::slot_limiter(unsigned slots, unsigned queue)
    : m_slots(std::max(1U, slots))
    , m_queue(queue)
{
}

slot_limiter::slot_result slot_limiter::enter(time_point deadline)
{
    std::unique_lock lock(m_mutex);
    const unsigned capacity = capacityLocked(system_clock().now());
    const unsigned concurrent = m_running + m_waiting + 1;
    m_maxConcurrent = std::max(m_maxConcurrent, concurrent);
    if (concurrent > capacity + m_queue) {
        return slot_result::shed;
    }
    const bool exceedsCapacity = capacity < m_slots && concurrent > capacity;
    ++m_waiting;
    const bool free = m_slotFreed.wait_until(lock, deadline, [this] { return m_stopped || m_running < m_slots; });
    --m_waiting;
    if (m_stopped) {
        return slot_result::stopped;
    }
    if (!free) {
        return slot_result::expired;
    }
    ++m_running;
    m_maxRunning = std::max(m_maxRunning, m_running);
    return exceedsCapacity ? slot_result::entered_over_capacity : slot_result::entered;
}

void slot_limiter::leave()
{
    const std::lock_guard lock(m_mutex);
    --m_running;
    m_slotFreed.notify_one();
}

void slot_limiter::startWarmUp(time_point now, duration ramp)
{
    const std::lock_guard lock(m_mutex);
    m_warmUpStart = now;
    m_warmUpDuration = ramp;
}

void slot_limiter::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_slotFreed.notify_all();
}

unsigned slot_limiter::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_running;
}

unsigned slot_limiter::capacity(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return capacityLocked(now);
}

unsigned slot_limiter::maxRunning() const
{
    const std::lock_guard lock(m_mutex);
    return m_maxRunning;
}

unsigned slot_limiter::maxConcurrent() const
{
    const std::lock_guard lock(m_mutex);
    return m_maxConcurrent;
}

unsigned slot_limiter::capacityLocked(time_point now) const
{
    if (m_warmUpDuration.count() <= 0 || now - m_warmUpStart >= m_warmUpDuration) {
        return m_slots;
    }
    const double fraction = static_cast<double>((now - m_warmUpStart).count()) / static_cast<double>(m_warmUpDuration.count());
    return std::max(1U, static_cast<unsigned>(fraction * m_slots));
}

} // namespace snipefall
