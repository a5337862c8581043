#pragma once

#include <atomic>
#include <cstddef>
#include <thread>

#include <sys/types.h>

namespace snipefall {

/**
 * Samples the memory of another process, as the platform counts it: resident memory, and bytes that its TCP sockets have received and it has not read.
 *
 * A peak between two samples is missed, except that of the resident memory alone, which the kernel keeps.
 */
class memory_watch
{
public:
    explicit memory_watch(pid_t process);
    ~memory_watch();
    memory_watch(const memory_watch &) = delete;
    memory_watch &operator=(const memory_watch &) = delete;

    /** The highest memory so far, in MB; the highest number there is if the process has ended. */
    std::size_t peakMb() const;
    /** The highest number of unread bytes in a sample so far. */
    std::size_t peakUnreadBytes() const { return m_peakUnreadBytes; }
    /** Open descriptors of the process now. */
    std::size_t openDescriptors() const;

private:
    void run();
    void sample();

    pid_t m_process;
    std::atomic<std::size_t> m_peakBytes{0};
    std::atomic<std::size_t> m_peakUnreadBytes{0};
    std::atomic<bool> m_stopped{false};
    std::thread m_thread;
};

} // namespace snipefall
