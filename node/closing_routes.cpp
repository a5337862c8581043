#include "node/closing_routes.h"

#include "core/configuration_patch.h"
#include "node/api_responses.h"
#include "node/closing_controller.h"
#include "node/operator_api.h"

namespace snipefall {

namespace {

constexpr const char *PREFIX = "/v1/services/";

http_response respond(const outcome<json> &result)
{
    return result ? jsonResponse(*result)
                  : errorResponse(httpStatusOf(result.reason().code),
                                  result.reason().code,
                                  result.reason().message,
                                  result.reason().code == error_code::unknown_result ? run_state::unknown : run_state::not_run);
}

outcome<json> readResource(const closing_controller &closings, const service_id &service, const std::string &resource)
{
    if (resource != "close" && resource != "report") {
        return failure{error_code::not_found, "the path must end in /close or /report"};
    }
    return resource == "close" ? closings.describe(service) : closings.published(service);
}

outcome<json>
postResource(closing_controller &closings, const service_id &service, const std::string &resource, const json &body, const std::string &operatorName)
{
    if (resource == "close") {
        const std::string author = operatorName == "anonymous" ? jsonValue<std::string>(body, "author", operatorName) : operatorName;
        return closings.close(service, author, jsonValue<std::string>(body, "reason", ""));
    }
    if (resource == "report") {
        return closings.publish(service, canonicalJson(body));
    }
    return failure{error_code::not_found, "the path must end in /close or /report"};
}

} // namespace

void addClosingRoutes(operator_api &operators, closing_controller &closings)
{
    const auto split = [](const std::string &rest) {
        const std::size_t slash = rest.find('/');
        return std::pair(service_id(rest.substr(0, slash)), slash == std::string::npos ? std::string() : rest.substr(slash + 1));
    };
    operators.addRoute("GET", PREFIX, [&closings, split](const http_request &, const std::string &rest, const std::string &) {
        const auto [service, resource] = split(rest);
        return respond(readResource(closings, service, resource));
    });
    operators.addRoute("POST", PREFIX, [&closings, split](const http_request &request, const std::string &rest, const std::string &operatorName) {
        const outcome<json> body = parseJson(request.body);
        if (!body || !body->is_object()) {
            return errorResponse(400, error_code::invalid_argument, "the body must be a JSON object", run_state::not_run);
        }
        const auto [service, resource] = split(rest);
        return respond(postResource(closings, service, resource, *body, operatorName));
    });
}

} // namespace snipefall
