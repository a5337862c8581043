#include "policy/closing_record.h"

namespace snipefall {

namespace {

bool isAllowedStep(closing_state from, closing_state to)
{
    // A configuration patch may open the service again during the drain; the closing then returns to refusing.
    return static_cast<int>(to) == static_cast<int>(from) + 1 || (from == closing_state::draining && to == closing_state::refusing);
}

std::string checkSteps(const closing_record &record)
{
    if (record.steps.empty() || record.steps.front().state != closing_state::refusing) {
        return "steps: the history must start with refusing";
    }
    for (std::size_t i = 1; i < record.steps.size(); ++i) {
        if (!isAllowedStep(record.steps[i - 1].state, record.steps[i].state)) {
            return "steps: " + std::string(toString(record.steps[i].state)) + " can't follow " + std::string(toString(record.steps[i - 1].state));
        }
    }
    return record.steps.back().state == record.state ? "" : "state: must equal the last step";
}

} // namespace

std::string closingKey(const service_id &service)
{
    return "closings/" + service.str();
}

outcome<closing_record> startClosing(const service_id &service, const std::string &author, const std::string &reason, const closing_step &first)
{
    if (service.empty() || author.empty() || reason.empty()) {
        return failure{error_code::invalid_argument, "a closing needs a service, an author and a reason"};
    }
    closing_record record;
    record.service = service;
    record.author = author;
    record.reason = reason;
    return advanceClosing(record, first);
}

outcome<closing_record> advanceClosing(const closing_record &record, const closing_step &next)
{
    if (record.state == next.state) {
        return record;
    }
    if (!isAllowedStep(record.state, next.state)) {
        return failure{error_code::conflict, "a closing can't go from " + std::string(toString(record.state)) + " to " + std::string(toString(next.state))};
    }
    closing_record advanced = record;
    advanced.state = next.state;
    advanced.steps.push_back(next);
    return advanced;
}

json toJson(const closing_record &record)
{
    json steps = json::array();
    for (const closing_step &step : record.steps) {
        steps.push_back({{"state", toString(step.state)}, {"at_ms", step.atMs}, {"node", step.node.str()}});
    }
    return {{"service", record.service.str()},
            {"state", toString(record.state)},
            {"author", record.author},
            {"reason", record.reason},
            {"configuration_version", record.configuration.value()},
            {"report_sha256", record.reportHash},
            {"steps", std::move(steps)}};
}

outcome<closing_record> parseClosingRecord(const json &document)
{
    closing_record record;
    record.service = service_id(jsonValue<std::string>(document, "service", ""));
    record.author = jsonValue<std::string>(document, "author", "");
    record.reason = jsonValue<std::string>(document, "reason", "");
    record.configuration = config_version(jsonValue<std::uint64_t>(document, "configuration_version", 0));
    record.reportHash = jsonValue<std::string>(document, "report_sha256", "");
    const auto state = parseClosingState(jsonValue<std::string>(document, "state", ""));
    if (!state || record.service.empty()) {
        return failure{error_code::invalid_argument, "a closing record needs a service and a known state"};
    }
    record.state = *state;
    for (const json &step : document.value("steps", json::array())) {
        const auto stepState = parseClosingState(jsonValue<std::string>(step, "state", ""));
        if (!stepState) {
            return failure{error_code::invalid_argument, "steps: unknown state"};
        }
        record.steps.push_back({*stepState, jsonValue<std::uint64_t>(step, "at_ms", 0), node_id(jsonValue<std::string>(step, "node", ""))});
    }
    if (std::string problem = checkSteps(record); !problem.empty()) {
        return failure{error_code::invalid_argument, std::move(problem)};
    }
    return record;
}

} // namespace snipefall
