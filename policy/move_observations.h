#pragma once

#include <cstdint>
#include <string>

#include "policy/route_counts.h"

namespace snipefall {

/** What one node, or several together, observed of a move at its current share. */
struct move_observations
{
    std::string moveId;
    std::uint32_t sharePercent = 0;
    counts_by_route step; ///< Since the share was set; the old version at earlier shares when it has too few answers.
    counts_by_route recent; ///< The last seconds only, so that a late fault isn't diluted by the time before.

    /** Adds another node's observations; those of another move or share are ignored. */
    void merge(const move_observations &other);
    /** Answers of the new version in this step on all routes. */
    std::uint64_t newAnswers() const;
    /** Latencies of the new version's warm backend servers in this step. */
    std::uint64_t newLatencies() const;
};

} // namespace snipefall
