#include "node/move_routes.h"

#include "core/clock.h"
#include "core/configuration_replica.h"
#include "node/api_responses.h"
#include "node/move_manager.h"
#include "node/operator_api.h"
#include "policy/move_record.h"

namespace snipefall {

namespace {

constexpr const char *PREFIX = "/v1/moves/";

http_response respond(const outcome<move_record> &result)
{
    return result ? jsonResponse(toJson(*result))
                  : errorResponse(httpStatusOf(result.reason().code),
                                  result.reason().code,
                                  result.reason().message,
                                  result.reason().code == error_code::unknown_result ? run_state::unknown : run_state::not_run);
}

http_response describeMove(move_manager &moves, const std::string &service)
{
    const json move = moves.describe(service_id(service));
    return move.is_null() ? errorResponse(404, error_code::not_found, "no move of service " + service, run_state::not_run) : jsonResponse(move);
}

move_request parseRequest(const service_id &service, const json &body, const configuration_replica &replica)
{
    const auto config = replica.current();
    const auto found = config->services.find(service);
    move_request moveRequest;
    moveRequest.moveId = jsonValue<std::string>(body, "move_id", "");
    moveRequest.service = service;
    moveRequest.from = found == config->services.end() ? version_id() : found->second.version;
    moveRequest.to = version_id(jsonValue<std::string>(body, "to", ""));
    moveRequest.firstSharePercent = jsonValue<std::uint32_t>(body, "first_share_percent", 5);
    moveRequest.deadlineMs = wallClockMs() + jsonValue<std::uint64_t>(body, "deadline_in_ms", 0);
    moveRequest.observationMs = jsonValue<std::uint64_t>(body, "observation_ms", 60000);
    return moveRequest;
}

} // namespace

void addMoveRoutes(operator_api &operators, const configuration_replica &replica, move_manager &moves, move_audit_function record)
{
    operators.addRoute("GET", PREFIX, [&moves](const http_request &, const std::string &rest, const std::string &) { return describeMove(moves, rest); });
    operators.addRoute(
        "POST", PREFIX, [&replica, &moves, record = std::move(record)](const http_request &request, const std::string &rest, const std::string &operatorName) {
            const outcome<json> body = parseJson(request.body);
            if (!body || !body->is_object()) {
                return errorResponse(400, error_code::invalid_argument, "the body must be a JSON object", run_state::not_run);
            }
            const std::size_t slash = rest.find('/');
            const service_id service(rest.substr(0, slash));
            const std::string author = operatorName == "anonymous" ? jsonValue<std::string>(*body, "author", operatorName) : operatorName;
            const std::string reason = jsonValue<std::string>(*body, "reason", "");
            outcome<move_record> result = failure{error_code::not_found, "the path must end in /rollback or in the service"};
            if (slash == std::string::npos) {
                move_request moveRequest = parseRequest(service, *body, replica);
                moveRequest.author = author;
                moveRequest.reason = reason;
                result = moves.start(moveRequest);
            } else if (rest.substr(slash) == "/rollback") {
                result = moves.rollBack(service, author, reason);
            }
            record(author,
                   (slash == std::string::npos ? "move.start " : "move.rollback ") + service.str(),
                   result ? reason : "refused: " + result.reason().message);
            return respond(result);
        });
}

} // namespace snipefall
