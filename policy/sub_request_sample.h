#pragma once

#include <string>

#include "core/clock.h"

namespace snipefall {

/** A finished sub-request, as input to the fault_detector that judges the new version during a move. */
struct sub_request_sample
{
    std::string route;
    bool newVersion = false; ///< Whether the server runs the version to which the move shifts traffic.
    bool failed = false; ///< Error, closed connection or timeout; refusals by shedding (429) or draining (503) are not failures.
    bool warm = true; ///< False during slow start of the backend server; the latency is not compared then.
    duration latency{}; ///< From the send to the complete answer.
    time_point at; ///< When the answer arrived.
    bool newConnection = false; ///< The first answer on a connection, whose latency includes the set-up of the connection.
};

} // namespace snipefall
