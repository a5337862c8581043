#include "node/operator_api.h"

#include "core/configuration_replica.h"
#include "node/api_responses.h"
#include "node/token_table.h"

namespace snipefall {

namespace {

json patchToJson(const configuration_patch &patch)
{
    json entry = toJson(patch);
    entry["version"] = patch.version().value();
    return entry;
}

int statusOf(commit_result::kind kind)
{
    switch (kind) {
    case commit_result::kind::applied:
        return 200;
    case commit_result::kind::refused:
        return 409;
    case commit_result::kind::invalid:
        return 400;
    case commit_result::kind::unavailable:
    case commit_result::kind::unknown:
        return 503;
    }
    return 503;
}

std::string_view nameOf(commit_result::kind kind)
{
    switch (kind) {
    case commit_result::kind::applied:
        return "applied";
    case commit_result::kind::refused:
        return "refused";
    case commit_result::kind::invalid:
        return "invalid";
    case commit_result::kind::unavailable:
        return "unavailable";
    case commit_result::kind::unknown:
        return "unknown";
    }
    return "unknown";
}

json fieldsToJson(const std::vector<invalid_field> &fields)
{
    json list = json::array();
    for (const invalid_field &field : fields) {
        list.push_back({{"path", field.path}, {"value", field.value}, {"allowed", field.allowed}});
    }
    return list;
}

} // namespace

operator_api::operator_api(const configuration_replica &configurations, const token_table &tokens, operations nodeOperations)
    : m_configurations(configurations)
    , m_tokens(tokens)
    , m_operations(std::move(nodeOperations))
{
}

void operator_api::addRoute(const std::string &method, const std::string &prefix, route_function handle)
{
    m_routes.push_back({method, prefix, std::move(handle)});
}

http_response operator_api::handle(const http_request &request)
{
    if (request.path == "/healthz") {
        return jsonResponse({{"alive", true}});
    }
    if (request.path == "/readyz") {
        const bool ready = m_operations.ready();
        return jsonResponse({{"ready", ready}}, ready ? 200 : 503);
    }
    const std::optional<token_table::identity> who = m_tokens.identify(request.header("Authorization"));
    if (!who) {
        return errorResponse(401, error_code::permission_denied, "a valid bearer token is required", run_state::not_run);
    }
    if (request.method != "GET" && who->role != operator_role::write) {
        return errorResponse(403, error_code::permission_denied, "operator " + who->name + " may only read", run_state::not_run);
    }
    return route(request, who->name);
}

http_response operator_api::route(const http_request &request, const std::string &operatorName)
{
    if (request.method == "GET" && request.path == "/v1/config") {
        return showConfiguration();
    }
    if (request.method == "GET" && request.path == "/v1/config/patches") {
        return listPatches(request);
    }
    if (request.method == "POST" && request.path == "/v1/config/patches") {
        return submitPatch(request, operatorName);
    }
    if (request.method == "GET" && request.path == "/v1/status") {
        return jsonResponse(m_operations.status());
    }
    if (request.method == "GET" && request.path == "/metrics") {
        http_response response;
        response.contentType = "text/plain; version=0.0.4";
        response.body = m_operations.metrics();
        return response;
    }
    for (const added_route &added : m_routes) {
        if (request.method == added.method && request.path.starts_with(added.prefix)) {
            return added.handle(request, request.path.substr(added.prefix.size()), operatorName);
        }
    }
    return errorResponse(404, error_code::not_found, "no route " + request.method + " " + request.path, run_state::not_run);
}

http_response operator_api::showConfiguration() const
{
    const configuration_snapshot snapshot = m_configurations.snapshot();
    const configuration_position position = m_configurations.position();
    return jsonResponse({{"version", snapshot.version.value()}, {"digest", position.digest}, {"document", snapshot.document}});
}

http_response operator_api::listPatches(const http_request &request) const
{
    const std::string after = request.parameter("after");
    char *end = nullptr;
    const unsigned long long version = std::strtoull(after.c_str(), &end, 10);
    if (*end != '\0') {
        return errorResponse(400, error_code::invalid_argument, "after must be a configuration version", run_state::not_run);
    }
    json patches = json::array();
    for (const configuration_patch &patch : m_configurations.patchesAfter(config_version(version)).patches) {
        patches.push_back(patchToJson(patch));
    }
    return jsonResponse({{"patches", std::move(patches)}});
}

http_response operator_api::submitPatch(const http_request &request, const std::string &operatorName)
{
    const outcome<json> body = parseJson(request.body);
    if (!body || !body->is_object()) {
        return errorResponse(400, error_code::invalid_argument, "the body must be a JSON object", run_state::not_run);
    }
    json document = *body;
    // With tokens, the author is the operator whom the token identifies. Without tokens, the author in the request body is used.
    if (operatorName != "anonymous" || !document.contains("author")) {
        document["author"] = operatorName;
    }
    const parsed<configuration_patch> patch = parseConfigurationPatch(document);
    if (!patch.value) {
        return jsonResponse({{"result", "invalid"}, {"message", "the patch has invalid fields"}, {"invalid_fields", fieldsToJson(patch.invalidFields)}}, 400);
    }
    const commit_result result = m_operations.commit(*patch.value);
    json answer = {{"result", nameOf(result.status)}, {"message", result.message}, {"invalid_fields", fieldsToJson(result.invalidFields)}};
    if (result.version.value() > 0) {
        answer["version"] = result.version.value();
    }
    if (result.winner) {
        answer["winner"] = patchToJson(*result.winner);
    }
    return jsonResponse(answer, statusOf(result.status));
}

} // namespace snipefall
