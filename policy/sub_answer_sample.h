#pragma once

#include <string>

#include "core/clock.h"

namespace snipefall {

/** One finished sub-request during a move, as a fault detector counts it. */
struct sub_answer_sample
{
    std::string route;
    bool newVersion = false; ///< Served by the version that the move leads to.
    bool failed = false; ///< Error, closed connection or timeout; sheds (429) and drains (503) are no failures.
    bool warm = true; ///< False while the backend server is in slow start and for the first answer on a connection; the latency isn't compared then.
    duration latency{}; ///< From sending to the whole answer.
    time_point at; ///< When the answer arrived.
};

} // namespace snipefall
