#pragma once

#include "core/clock.h"

namespace snipefall {

/** How a sub-request to a backend server ended, as far as load control is concerned. */
enum class server_answer_kind
{
    success,
    shed, ///< HTTP status 429: the server rejected the request without running it.
    failed, ///< Error answer, lost connection or timeout.
    cancelled, ///< Cancelled by this node; carries no information about the server.
};

/** The outcome of one sub-request, as reported to server_limiter. */
struct server_answer
{
    server_answer_kind kind = server_answer_kind::success;
    duration latency{}; ///< From sending the request to receiving the complete answer.
    duration versionMedianLatency{}; ///< Median latency of the server's version; 0 if unknown.
};

} // namespace snipefall
