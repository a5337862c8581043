#pragma once

#include <optional>
#include <string>
#include <vector>

#include "policy/coverage.h"

namespace snipefall {

/** How a query ended. */
enum class query_status
{
    complete, ///< The answer covers all shards and all items.
    partial, ///< The answer covers at least query_options::minCoverage, but not everything.
    below_min_coverage, ///< The caller gets an error with the coverage instead of results.
};

/** Returns the status of a query with coverage @p covered. Without any answered shard it is below_min_coverage, whatever @p minCoverage is. */
inline query_status statusOf(const coverage &covered, double minCoverage)
{
    if (covered.complete()) {
        return query_status::complete;
    }
    return covered.shardsAnswered > 0 && covered.itemShare() >= minCoverage ? query_status::partial : query_status::below_min_coverage;
}

/** Final result of a query; all results are from the same snapshot. */
struct query_outcome
{
    query_status status = query_status::below_min_coverage;
    coverage covered;
    std::vector<std::optional<std::string>> results; ///< One entry per shard; std::nullopt for a missing shard.
};

} // namespace snipefall
