#include "core/answer_policy.h"

namespace snipefall {

std::string_view toString(answer_policy policy)
{
    return policy == answer_policy::wait_for_coverage ? "wait_for_coverage" : "answer_in_time";
}

std::optional<answer_policy> parseAnswerPolicy(std::string_view text)
{
    for (const answer_policy policy : {answer_policy::wait_for_coverage, answer_policy::answer_in_time}) {
        if (toString(policy) == text) {
            return policy;
        }
    }
    return std::nullopt;
}

} // namespace snipefall
