#pragma once

#include <optional>
#include <string>
#include <vector>

#include "policy/coverage.h"

namespace snipefall {

/** How a query ended. */
enum class query_status
{
    complete, ///< All shards and all items are in the answer.
    partial, ///< At least minCoverage is in the answer.
    below_min_coverage, ///< The caller gets a refusal with the coverage.
};

/** The status of an answer with coverage @p covered; an answer without any shard is a refusal whatever @p minCoverage is. */
inline query_status statusOf(const coverage &covered, double minCoverage)
{
    if (covered.complete()) {
        return query_status::complete;
    }
    return covered.shardsAnswered > 0 && covered.itemShare() >= minCoverage ? query_status::partial : query_status::below_min_coverage;
}

/** The end of a query, from one snapshot. */
struct query_outcome
{
    query_status status = query_status::below_min_coverage;
    coverage covered;
    std::vector<std::optional<std::string>> results; ///< One entry per shard; empty for a missing shard.
};

} // namespace snipefall
