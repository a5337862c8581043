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
 * An address always belongs to the same thread, so that its connections form one pool. Deadlines, connect timeouts and progress timeouts are
 * kept here because the asynchronous client of the HTTP library keeps none.
 */
class fan_out_engine
{
public:
    using completion = std::function<void(sub_response)>;
    using clock = std::chrono::steady_clock;

    explicit fan_out_engine(unsigned threads);
    /** Requests that still run get the status cancelled; requests submitted by their completions are dropped. */
    ~fan_out_engine();
    fan_out_engine(const fan_out_engine &) = delete;
    fan_out_engine &operator=(const fan_out_engine &) = delete;

    /** Starts a sub-request; @p done is called once, on an I/O thread. Returns an id for cancel(). */
    std::uint64_t submit(sub_request request, completion done);

    /** Gives a sub-request up: its connection is closed and its completion gets the status cancelled. */
    void cancel(std::uint64_t id);

    /** Calls @p action at @p when on an I/O thread; @p affinity chooses the thread. */
    void schedule(clock::time_point when, std::uint64_t affinity, std::function<void()> action);

    /** Connections that are open at this time, in use or idle. */
    std::size_t openConnections() const;

    /** Closes the idle connections to an address. */
    void closeIdle(const std::string &address);

private:
    class io_thread;
    std::vector<std::unique_ptr<io_thread>> m_threads;
};

} // namespace snipefall
