#pragma once

namespace snipefall {

/** What the target version of a move may get of all requests to its service while the move lasts. */
struct canary_limits
{
    double share = 0.1; ///< Of the requests, from 0 to 1.
    double slack = 0; ///< Requests allowed besides.
};

} // namespace snipefall
