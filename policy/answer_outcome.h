#pragma once

#include <optional>
#include <string_view>

namespace snipefall {

/** What a caller was told. */
enum class answer_outcome
{
    complete, ///< A query's answer with every shard.
    partial, ///< A query's answer labelled with what is missing.
    executed, ///< A non-idempotent request that ran.
    not_run, ///< A refusal: nothing ran.
    unknown, ///< A non-idempotent request that may have run.
    failed, ///< A query without an answer after sub-requests were sent.
};

std::string_view toString(answer_outcome outcome);
std::optional<answer_outcome> parseAnswerOutcome(std::string_view text);

} // namespace snipefall
