#include "policy/answer_outcome.h"

namespace snipefall {

std::string_view toString(answer_outcome outcome)
{
    switch (outcome) {
    case answer_outcome::complete:
        return "complete";
    case answer_outcome::partial:
        return "partial";
    case answer_outcome::executed:
        return "executed";
    case answer_outcome::not_run:
        return "not_run";
    case answer_outcome::unknown:
        return "unknown";
    case answer_outcome::failed:
        return "failed";
    }
    return "failed";
}

std::optional<answer_outcome> parseAnswerOutcome(std::string_view text)
{
    for (const answer_outcome outcome : {answer_outcome::complete,
                                         answer_outcome::partial,
                                         answer_outcome::executed,
                                         answer_outcome::not_run,
                                         answer_outcome::unknown,
                                         answer_outcome::failed}) {
        if (toString(outcome) == text) {
            return outcome;
        }
    }
    return std::nullopt;
}

} // namespace snipefall
