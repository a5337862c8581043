#include "node/hop_forwarder.h"

#include <algorithm>

#include "core/json.h"
#include "http/http_call.h"
#include "node/api_responses.h"

namespace snipefall {

namespace {

constexpr const char *HOP_HEADER = "Snipefall-Hop";
constexpr long CONNECT_TIMEOUT_MS = 300;
// The holder keeps the request's deadline; this is for its answer to arrive. A holder that is paused answers nothing.
constexpr long FORWARD_MARGIN_MS = 1000;

} // namespace

hop_forwarder::hop_forwarder(route_function route, deadline_function deadline)
    : m_route(std::move(route))
    , m_deadline(std::move(deadline))
{
}

bool hop_forwarder::shouldForward(const service_id &service, const http_request &request) const
{
    return m_route(service, request_id(request.header("Request-Id")), !request.header(HOP_HEADER).empty(), {}).kind != hop_kind::serve;
}

long hop_forwarder::timeoutOf(const service_id &service, const http_request &request) const
{
    const std::uint32_t longest = m_deadline(service);
    const outcome<json> body = parseJson(request.body);
    // The holder refuses deadlines that are no positive number.
    const auto asked = body && body->is_object() ? jsonValue<std::uint32_t>(*body, "deadline_ms", longest) : longest;
    return static_cast<long>(std::min(asked, longest)) + FORWARD_MARGIN_MS;
}

http_response hop_forwarder::forward(const service_id &service, const http_request &request) const
{
    http_call call;
    call.method = request.method;
    call.target = request.path;
    call.body = request.body;
    call.connectTimeoutMs = CONNECT_TIMEOUT_MS;
    call.timeoutMs = timeoutOf(service, request);
    call.headers = {{HOP_HEADER, "1"}, {"Content-Type", "application/json"}};
    for (const char *name : {"Request-Id", "Caller", "Traceparent"}) {
        const std::string value = request.header(name);
        if (!value.empty()) {
            call.headers.push_back({name, value});
        }
    }
    std::set<node_id> avoided;
    for (;;) {
        const hop_decision decision = m_route(service, request_id(request.header("Request-Id")), !request.header(HOP_HEADER).empty(), avoided);
        if (decision.kind != hop_kind::forward) {
            break;
        }
        call.address = decision.target->callerAddress;
        const http_call_result result = executeHttpCall(call);
        if (result.status == transport_status::ok) {
            return result.response;
        }
        if (result.mayHaveReachedServer) {
            return errorResponse(503, error_code::unknown_result, "the node that holds the permits gave no answer: " + result.message, run_state::unknown);
        }
        avoided.insert(decision.target->id);
    }
    return errorResponse(503, error_code::unavailable, "no node holds permits of service " + service.str(), run_state::not_run);
}

} // namespace snipefall
