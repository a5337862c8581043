#pragma once

#include <cstdint>
#include <string>

#include "policy/route_counts.h"

namespace snipefall {

/** Statistical evidence that a new version is worse than the old one. */
struct comparison_evidence
{
    double logEvidence = 0; ///< Natural logarithm of the likelihood ratio. A value of ln(1/a) or more occurs by chance with a probability of at most a.
    std::string finding; ///< Description for operators, for example "error rate 0.0512 against 0.0049 in 410 and 7800 answers".
};

/** Number of tests that compareVersions() runs on one route; callers divide the significance level by it (Bonferroni correction). */
constexpr unsigned TESTS_PER_ROUTE = 3;

/**
 * Returns the log evidence that an event is more frequent in the new version.
 *
 * If both versions have the same rate, each event belongs to the new version with probability newTotal / (newTotal + oldTotal). The evidence is the
 * likelihood ratio against this null hypothesis, averaged over several alternative rate ratios. As a test martingale, it may be evaluated any number of
 * times without raising the false-positive rate.
 */
double rateIncreaseEvidence(std::uint64_t oldEvents, std::uint64_t oldTotal, std::uint64_t newEvents, std::uint64_t newTotal);

/**
 * Compares the error rate and the latency on one route; for latency, the shares of answers above the old version's p75 and p95. Differences too small to matter
 * in practice give a log evidence of 0.
 */
comparison_evidence compareVersions(const route_counts &counts);

/** Returns the strongest evidence among all routes. */
comparison_evidence compareRoutes(const counts_by_route &routes);

} // namespace snipefall
