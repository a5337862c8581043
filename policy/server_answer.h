#pragma once

#include "core/clock.h"

namespace snipefall {

/** How a sub-request to a backend server ended, as far as its load is concerned. */
enum class server_answer_kind
{
    success,
    shed, ///< 429: the server refused it without running it.
    failed, ///< An error, a lost connection or a timeout.
    cancelled, ///< Ended by this side; says nothing of the server.
};

struct server_answer
{
    server_answer_kind kind = server_answer_kind::success;
    duration latency{}; ///< From the send to the whole answer.
    duration versionMedian{}; ///< The median latency of the server's version; 0 while it is unknown.
};

} // namespace snipefall
