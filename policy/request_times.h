#pragma once

#include "core/clock.h"

namespace snipefall {

/** Points in time by which a request must be answered. */
struct request_times
{
    time_point received;
    time_point target; ///< Latest time to send an answer that reaches the caller within the target latency.
    time_point end; ///< Latest time to send the final answer, whether or not it is complete.
    time_point deadline; ///< The caller's own deadline, which is passed on to backend servers.

    /** The longest Retry-After that the caller waits for. */
    duration longestRetryAfter(time_point now) const { return (deadline - now) / RETRY_AFTER_DIVISOR; }

private:
    /** Callers wait for a Retry-After of at most the time until their deadline divided by this. */
    static constexpr int RETRY_AFTER_DIVISOR = 3;
};

} // namespace snipefall
