#pragma once

#include "core/clock.h"

namespace snipefall {

/** When a request has to be answered. */
struct request_times
{
    time_point received;
    time_point target; ///< An answer sent after this time reaches the caller too late for its target latency.
    time_point end; ///< The final answer has to be sent by then.
    time_point deadline; ///< The caller's own deadline, which is passed on to backend servers.
};

} // namespace snipefall
