#pragma once

#include <cstdint>

namespace snipefall {

/** The bounds of hedges and retries, in percent of first sub-requests. */
struct extra_load_limits
{
    std::int64_t earnedPercent = 5; ///< Share of first sub-requests earned as tokens.
    std::int64_t capPercent = 10; ///< Highest share in any window of one second.
    std::int64_t burstTokens = 100; ///< Most tokens kept for later.
};

} // namespace snipefall
