#include "policy/version_comparison.h"

#include <algorithm>
#include <array>
#include <cmath>

#include <fmt/format.h>

namespace snipefall {

namespace {

/** The alternative hypotheses: ratios of the new version's rate to the old one's. */
constexpr std::array<double, 5> RATE_RATIOS{1.5, 2, 4, 16, 64};
/** A smaller increase of the error rate is not treated as a fault, even when it is statistically significant. */
constexpr double MIN_ERROR_INCREASE = 0.003;
/** With fewer answers of the old version, it is assumed to have had 1 error in 100 answers, so that gross faults are still detected without a baseline. */
constexpr std::uint64_t MIN_BASELINE_ANSWERS = 20;
constexpr std::uint64_t ASSUMED_BASELINE_ANSWERS = 100;
constexpr std::uint64_t ASSUMED_BASELINE_ERRORS = 1;
/** Latency isn't compared with fewer samples of the old version, because its quantiles are then too uncertain. */
constexpr std::uint64_t MIN_LATENCY_SAMPLES = 50;
/** Latency isn't compared with fewer samples of the new version, because they may all come from two or three stalls of a busy machine. */
constexpr std::uint64_t MIN_NEW_LATENCY_SAMPLES = 10;
constexpr std::array<double, TESTS_PER_ROUTE - 1> LATENCY_QUANTILES{0.75, 0.95};
/** Latency increases up to one bucket (factor 1.19) or up to this much are tolerated, whichever is larger, because jitter dominates short latencies. */
constexpr duration MIN_LATENCY_INCREASE{1000};

double eventRate(std::uint64_t events, std::uint64_t total)
{
    return total == 0 ? 0.0 : static_cast<double>(events) / static_cast<double>(total);
}

void keepStronger(comparison_evidence &strongest, double evidence, auto &&describe)
{
    if (evidence > strongest.logEvidence) {
        strongest.logEvidence = evidence;
        strongest.finding = describe();
    }
}

void compareErrors(const route_counts &counts, comparison_evidence &strongest)
{
    const version_counts &oldCounts = counts.oldVersion;
    const version_counts &newCounts = counts.newVersion;
    const bool hasBaseline = oldCounts.answers >= MIN_BASELINE_ANSWERS;
    const std::uint64_t oldErrors = hasBaseline ? oldCounts.errors : ASSUMED_BASELINE_ERRORS;
    const std::uint64_t oldAnswers = hasBaseline ? oldCounts.answers : ASSUMED_BASELINE_ANSWERS;
    const double oldRate = eventRate(oldErrors, oldAnswers);
    const double newRate = eventRate(newCounts.errors, newCounts.answers);
    if (newRate - oldRate < MIN_ERROR_INCREASE) {
        return;
    }
    const double dispersion = 1 + std::max(0.0, counts.excessDispersion);
    const std::uint64_t newAnswers = newCounts.answers;
    keepStronger(strongest, rateIncreaseEvidence(oldErrors, oldAnswers, newCounts.errors, newAnswers) / dispersion, [&] {
        return fmt::format("error rate {:.4f} against {:.4f} in {} and {} answers", newRate, oldRate, newAnswers, oldAnswers);
    });
}

void compareLatency(const latency_histogram &oldLatency, const latency_histogram &newLatency, double quantile, comparison_evidence &strongest)
{
    if (oldLatency.total() < MIN_LATENCY_SAMPLES || newLatency.total() < MIN_NEW_LATENCY_SAMPLES) {
        return;
    }
    const std::size_t oldBucket = oldLatency.quantileBucket(quantile);
    const duration oldEdge = latency_histogram::upperEdge(oldBucket);
    const std::size_t newBucket = std::max(oldBucket + 1, latency_histogram::bucketOf(oldEdge + MIN_LATENCY_INCREASE));
    const std::uint64_t newAbove = newLatency.above(newBucket);
    keepStronger(strongest, rateIncreaseEvidence(oldLatency.above(oldBucket), oldLatency.total(), newAbove, newLatency.total()), [&] {
        return fmt::format("{:.3f} of the latencies above {} us against {:.3f} above {} us in {} and {} answers",
                           eventRate(newAbove, newLatency.total()),
                           latency_histogram::upperEdge(newBucket).count(),
                           eventRate(oldLatency.above(oldBucket), oldLatency.total()),
                           oldEdge.count(),
                           newLatency.total(),
                           oldLatency.total());
    });
}

} // namespace

double rateIncreaseEvidence(std::uint64_t oldEvents, std::uint64_t oldTotal, std::uint64_t newEvents, std::uint64_t newTotal)
{
    if (oldTotal == 0 || newTotal == 0 || newEvents == 0) {
        return 0;
    }
    const double newShare = static_cast<double>(newTotal) / static_cast<double>(oldTotal + newTotal);
    const auto events = static_cast<double>(oldEvents + newEvents);
    std::array<double, RATE_RATIOS.size()> logs{};
    std::transform(RATE_RATIOS.begin(), RATE_RATIOS.end(), logs.begin(), [&](double ratio) {
        return static_cast<double>(newEvents) * std::log(ratio) - events * std::log1p((ratio - 1) * newShare);
    });
    const double highest = *std::max_element(logs.begin(), logs.end());
    double sum = 0;
    for (const double log : logs) {
        sum += std::exp(log - highest);
    }
    return highest + std::log(sum / static_cast<double>(logs.size()));
}

comparison_evidence compareVersions(const route_counts &counts)
{
    comparison_evidence strongest;
    compareErrors(counts, strongest);
    for (const double quantile : LATENCY_QUANTILES) {
        compareLatency(counts.oldVersion.latency, counts.newVersion.latency, quantile, strongest);
    }
    return strongest;
}

comparison_evidence compareRoutes(const counts_by_route &routes)
{
    comparison_evidence strongest;
    for (const auto &[route, counts] : routes) {
        const comparison_evidence found = compareVersions(counts);
        keepStronger(strongest, found.logEvidence, [&, &name = route] { return fmt::format("route {}: {}", name, found.finding); });
    }
    return strongest;
}

} // namespace snipefall
