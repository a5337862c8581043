#include "policy/move_outcome.h"

namespace snipefall {

std::string_view toString(move_outcome outcome)
{
    switch (outcome) {
    case move_outcome::running:
        return "running";
    case move_outcome::done:
        return "done";
    case move_outcome::rolled_back:
        return "rolled_back";
    case move_outcome::not_yet_known:
        return "not_yet_known";
    }
    return "not_yet_known";
}

move_outcome moveOutcome(const std::optional<move_record> &record, bool recordIsCurrent, std::uint64_t nowMs)
{
    if (!record) {
        return move_outcome::not_yet_known;
    }
    if (record->state == move_state::rolled_back) {
        return move_outcome::rolled_back;
    }
    if (record->state == move_state::done) {
        return move_outcome::done;
    }
    if (nowMs < record->deadlineMs) {
        return move_outcome::running;
    }
    return recordIsCurrent ? move_outcome::rolled_back : move_outcome::not_yet_known;
}

} // namespace snipefall
