#pragma once

namespace snipefall {

/** Upper bound of the requests that the target version of a move may get while the move lasts: a share of all requests to the service, plus the slack. */
struct canary_limits
{
    double share = 0.1; ///< Fraction of the requests, from 0 to 1.
    double slack = 0; ///< Number of requests that are allowed in addition to the share.
};

} // namespace snipefall
