#pragma once

#include <cstdint>

namespace snipefall {

/** Limits on hedges and retries, in percent of the first sub-requests. */
struct extra_load_limits
{
    std::int64_t earnedPercent = 5; ///< Tokens earned per 100 first sub-requests.
    std::int64_t capPercent = 10; ///< Bound on hedges and retries in any window of one second.
    std::int64_t burstTokens = 100; ///< Bound on the tokens that can be saved up.
};

} // namespace snipefall
