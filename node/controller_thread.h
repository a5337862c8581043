#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace snipefall {

/** Runs a controller's step on a dedicated thread, periodically and whenever wake() is called. */
class controller_thread
{
public:
    controller_thread(std::chrono::milliseconds interval, std::function<void()> step);
    ~controller_thread();
    controller_thread(const controller_thread &) = delete;
    controller_thread &operator=(const controller_thread &) = delete;

    /** Runs the next step without waiting for the interval. */
    void wake();
    /** Waits until the running step returns, then joins the thread. */
    void stop();

private:
    void run();

    const std::chrono::milliseconds m_interval;
    const std::function<void()> m_step;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_woken = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace snipefall
