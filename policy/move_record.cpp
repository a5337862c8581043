#include "policy/move_record.h"

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace snipefall {

namespace {

constexpr std::uint32_t FULL_SHARE_PERCENT = 100;

std::vector<std::string> textFieldErrors(const move_record &record)
{
    std::vector<std::string> errors;
    for (const auto &[field, text] : {std::pair{"move_id", &record.moveId},
                                      std::pair{"service", &record.service.str()},
                                      std::pair{"from", &record.from.str()},
                                      std::pair{"to", &record.to.str()},
                                      std::pair{"author", &record.author},
                                      std::pair{"reason", &record.reason}}) {
        if (text->empty()) {
            errors.push_back(fmt::format("{}: a non-empty text is needed", field));
        }
    }
    if (!record.to.empty() && record.from == record.to) {
        errors.push_back(fmt::format("to: \"{}\" must differ from the old version", record.to.str()));
    }
    return errors;
}

void checkHistory(const move_record &record, std::vector<std::string> &errors)
{
    if (record.steps.empty() || record.steps.front().state != move_state::canary) {
        errors.push_back("steps: the history must start with a canary step");
        return;
    }
    const move_step current{record.state, record.sharePercent, record.stepStartedMs};
    if (record.steps.back() != current) {
        errors.push_back("steps: the last step must equal state, share_percent and step_started_ms");
    }
    const auto isInvalidTransition = [](const move_step &a, const move_step &b) {
        return a.state == move_state::rolled_back || (b.state != move_state::rolled_back && b.sharePercent < a.sharePercent);
    };
    if (std::adjacent_find(record.steps.begin(), record.steps.end(), isInvalidTransition) != record.steps.end()) {
        errors.push_back("steps: a share shrinks only by a rollback, and nothing follows a rollback");
    }
}

void checkState(const move_record &record, std::vector<std::string> &errors)
{
    const bool valid = [&] {
        switch (record.state) {
        case move_state::canary:
            return record.sharePercent >= 1 && record.sharePercent <= MAX_FIRST_SHARE_PERCENT;
        case move_state::growing:
            return record.sharePercent >= 1 && record.sharePercent <= FULL_SHARE_PERCENT;
        case move_state::done:
            return record.sharePercent == FULL_SHARE_PERCENT;
        case move_state::rolled_back:
            return record.sharePercent == 0;
        }
        return false;
    }();
    if (!valid) {
        errors.push_back(fmt::format("share_percent: {} is not allowed in state {} (canary 1 to 5, growing 1 to 100, done 100, rolled_back 0)",
                                     record.sharePercent,
                                     toString(record.state)));
    }
}

outcome<move_record> validatedRecord(move_record record, std::vector<std::string> errors)
{
    if (record.deadlineMs < record.startedMs || record.deadlineMs - record.startedMs < MIN_MOVE_MS) {
        errors.push_back(fmt::format("deadline_ms: {} must be at least {} ms after the start at {}", record.deadlineMs, MIN_MOVE_MS, record.startedMs));
    }
    if (record.observationMs > MAX_OBSERVATION_MS) {
        errors.push_back(fmt::format("observation_ms: {} must be at most {}", record.observationMs, MAX_OBSERVATION_MS));
    }
    checkState(record, errors);
    checkHistory(record, errors);
    if (!errors.empty()) {
        return failure{error_code::invalid_argument, fmt::format("{}", fmt::join(errors, "; "))};
    }
    return record;
}

json stepJson(const move_step &step)
{
    return {{"state", toString(step.state)}, {"share_percent", step.sharePercent}, {"started_ms", step.startedMs}};
}

move_state readState(const json &document, std::vector<std::string> &errors)
{
    const auto text = jsonValue<std::string>(document, "state", "");
    const auto state = parseMoveState(text);
    if (!state) {
        errors.push_back(fmt::format("state: \"{}\" is none of canary, growing, done, rolled_back", text));
    }
    return state.value_or(move_state::rolled_back);
}

} // namespace

bool move_record::isFinal(std::uint64_t nowMs) const
{
    return state == move_state::rolled_back || (state == move_state::done && nowMs >= stepStartedMs + observationMs);
}

std::string moveKey(const service_id &service)
{
    return "moves/" + service.str();
}

outcome<move_record> startMove(const move_request &request, std::uint64_t nowMs)
{
    move_record record;
    record.moveId = request.moveId;
    record.service = request.service;
    record.from = request.from;
    record.to = request.to;
    record.sharePercent = request.firstSharePercent;
    record.startedMs = nowMs;
    record.stepStartedMs = nowMs;
    record.deadlineMs = request.deadlineMs;
    record.observationMs = request.observationMs;
    record.reason = request.reason;
    record.author = request.author;
    record.steps.push_back({record.state, record.sharePercent, nowMs});
    auto errors = textFieldErrors(record);
    return validatedRecord(std::move(record), std::move(errors));
}

json toJson(const move_record &record)
{
    json steps = json::array();
    for (const move_step &step : record.steps) {
        steps.push_back(stepJson(step));
    }
    return {{"move_id", record.moveId},
            {"service", record.service.str()},
            {"from", record.from.str()},
            {"to", record.to.str()},
            {"share_percent", record.sharePercent},
            {"state", toString(record.state)},
            {"started_ms", record.startedMs},
            {"deadline_ms", record.deadlineMs},
            {"step_started_ms", record.stepStartedMs},
            {"observation_ms", record.observationMs},
            {"reason", record.reason},
            {"author", record.author},
            {"steps", std::move(steps)}};
}

outcome<move_record> parseMoveRecord(const json &document)
{
    std::vector<std::string> errors;
    move_record record;
    record.moveId = jsonValue<std::string>(document, "move_id", "");
    record.service = service_id(jsonValue<std::string>(document, "service", ""));
    record.from = version_id(jsonValue<std::string>(document, "from", ""));
    record.to = version_id(jsonValue<std::string>(document, "to", ""));
    record.sharePercent = jsonValue<std::uint32_t>(document, "share_percent", 0);
    record.state = readState(document, errors);
    record.startedMs = jsonValue<std::uint64_t>(document, "started_ms", 0);
    record.deadlineMs = jsonValue<std::uint64_t>(document, "deadline_ms", 0);
    record.stepStartedMs = jsonValue<std::uint64_t>(document, "step_started_ms", 0);
    record.observationMs = jsonValue<std::uint64_t>(document, "observation_ms", 0);
    record.reason = jsonValue<std::string>(document, "reason", "");
    record.author = jsonValue<std::string>(document, "author", "");
    for (const json &step : document.is_object() ? document.value("steps", json::array()) : json::array()) {
        record.steps.push_back({readState(step, errors), jsonValue<std::uint32_t>(step, "share_percent", 0), jsonValue<std::uint64_t>(step, "started_ms", 0)});
    }
    const auto fieldErrors = textFieldErrors(record);
    errors.insert(errors.end(), fieldErrors.begin(), fieldErrors.end());
    return validatedRecord(std::move(record), std::move(errors));
}

} // namespace snipefall
