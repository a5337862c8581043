#include "node/controller_thread.h"

namespace snipefall {

controller_thread::controller_thread(std::chrono::milliseconds interval, std::function<void()> step)
    : m_interval(interval)
    , m_step(std::move(step))
    , m_thread([this] { run(); })
{
}

controller_thread::~controller_thread()
{
    stop();
}

void controller_thread::wake()
{
    const std::lock_guard lock(m_mutex);
    m_woken = true;
    m_changed.notify_all();
}

void controller_thread::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void controller_thread::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_woken = false;
        lock.unlock();
        m_step();
        lock.lock();
        m_changed.wait_for(lock, m_interval, [this] { return m_woken || m_stopping; });
    }
}

} // namespace snipefall
