#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/sub_request.h"

namespace snipefall {

/**
 * Sends sub-requests on pooled keep-alive connections from I/O threads of its own.
 *
 * Each address is assigned to one thread, so that its connections form one pool. The engine enforces deadlines, connect timeouts and progress timeouts itself,
 * because the asynchronous client of the HTTP library has none.
 */
class fan_out_engine
{
public:
    using completion = std::function<void(sub_response)>;
    using clock = std::chrono::steady_clock;

    explicit fan_out_engine(unsigned threads);
    /** Completes running sub-requests with the status cancelled; sub-requests submitted by these completions are dropped without a completion. */
    ~fan_out_engine();
    fan_out_engine(const fan_out_engine &) = delete;
    fan_out_engine &operator=(const fan_out_engine &) = delete;

    /** Starts a sub-request; @p done is called once, on an I/O thread. Returns an id for cancel(). */
    std::uint64_t submit(sub_request request, completion done);

    /** Aborts a sub-request: closes its connection and calls its completion with the status cancelled. Does nothing if it has completed. */
    void cancel(std::uint64_t id);

    /** Calls @p action at @p when on an I/O thread; calls with the same @p affinity run on the same thread. */
    void schedule(clock::time_point when, std::uint64_t affinity, std::function<void()> action);

    /** Number of open connections, in use or idle. */
    std::size_t openConnections() const;

    /** Closes the idle connections to an address. */
    void closeIdle(const std::string &address);

private:
    class io_thread;
    std::vector<std::unique_ptr<io_thread>> m_threads;
};

} // namespace snipefall
