#pragma once

#include <cstdint>

namespace snipefall {

/** Calls to the platform for one purpose since the process started. */
struct call_counts
{
    std::uint64_t reads = 0; ///< Reads, lists and watches that were sent.
    std::uint64_t writes = 0;
    std::uint64_t failures = 0; ///< Sent calls that failed because of the platform.
    std::uint64_t refusedOverBudget = 0; ///< Calls refused by the budget.
    std::uint64_t refusedDuringBackoff = 0; ///< Calls refused during backoff.
};

} // namespace snipefall
