#pragma once

#include <cstdint>
#include <string>

#include "policy/route_counts.h"

namespace snipefall {

/** The strongest evidence that a new version is worse than the old one. */
struct comparison_evidence
{
    double logEvidence = 0; ///< Natural logarithm of the likelihood ratio; at least ln(1/a) occurs by chance with probability at most a.
    std::string finding; ///< For operators, for example "error rate 0.0512 against 0.0049 in 410 and 7800 answers".
};

/** Number of tests that compareVersions() makes on one route; the significance level is divided among them. */
constexpr unsigned TESTS_PER_ROUTE = 3;

/**
 * Log evidence that an event is more frequent in the new version.
 *
 * When both versions have the same rate, each event belongs to the new version with probability newTotal / (newTotal + oldTotal). The evidence is the
 * likelihood ratio against that, averaged over several rate ratios. It is a test martingale: it may be looked at any number of times.
 */
double rateIncreaseEvidence(std::uint64_t oldEvents, std::uint64_t oldTotal, std::uint64_t newEvents, std::uint64_t newTotal);

/** Compares error rate and latency (shares of answers above the old version's p75 and p95) on one route; differences of no practical weight give 0. */
comparison_evidence compareVersions(const route_counts &counts);

/** The strongest evidence among all entries. */
comparison_evidence compareRoutes(const counts_by_route &routes);

} // namespace snipefall
