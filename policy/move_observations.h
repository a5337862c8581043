#pragma once

#include <cstdint>
#include <string>

#include "policy/route_counts.h"

namespace snipefall {

/** Answer counts of both versions of a move at its current share, from one node or merged from several. */
struct move_observations
{
    std::string moveId;
    std::uint32_t sharePercent = 0;
    counts_by_route step; ///< Counts since the share was set; if the old version has too few answers, those at earlier shares are included.
    counts_by_route recent; ///< Counts of the last seconds only, so that the answers before a late fault don't hide it.

    /** Adds another node's observations; those of another move or another share are ignored. */
    void merge(const move_observations &other);
    /** Number of answers of the new version in this step, on all routes together. */
    std::uint64_t newVersionAnswers() const;
    /** Number of latency samples of the new version's warm backend servers in this step, on all routes together. */
    std::uint64_t newVersionLatencies() const;
};

} // namespace snipefall
