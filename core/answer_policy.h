#pragma once

#include <optional>
#include <string_view>

namespace snipefall {

/** How a service trades coverage against latency when shards are slow. */
enum class answer_policy
{
    wait_for_coverage, ///< Waits until the deadline for all shards.
    answer_in_time, ///< Answers after good_enough_ms, once the minimum coverage is reached, and states the coverage.
};

std::string_view toString(answer_policy policy);
std::optional<answer_policy> parseAnswerPolicy(std::string_view text);

} // namespace snipefall
