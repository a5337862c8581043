#pragma once

#include <optional>
#include <string_view>

namespace snipefall {

/** The result of a request as it was reported to the caller. */
enum class answer_outcome
{
    complete, ///< An answer to a query that covers all shards.
    partial, ///< An answer to a query that lacks some shards and lists them.
    executed, ///< A non-idempotent request that was executed.
    not_run, ///< A request that was rejected before any execution.
    unknown, ///< A non-idempotent request that may have been executed.
    failed, ///< A query that got no answer although sub-requests were sent.
};

std::string_view toString(answer_outcome outcome);
std::optional<answer_outcome> parseAnswerOutcome(std::string_view text);

} // namespace snipefall
