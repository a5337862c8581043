#include "node/request_forwarder.h"

#include <algorithm>
#include <thread>

#include "core/clock.h"
#include "core/json.h"
#include "http/http_call.h"
#include "node/api_responses.h"
#include "node/forwarded_by_header.h"

namespace snipefall {

namespace {

constexpr long CONNECT_TIMEOUT_MS = 300;
// While permits move between nodes, for example after a node joined, none of the known holders may have any for a short time.
constexpr duration PERMIT_TRANSFER_TIMEOUT = std::chrono::seconds(1);
constexpr std::chrono::milliseconds PERMIT_TRANSFER_POLL_INTERVAL{20};
// Added to the request's deadline, which the holder enforces, so that its response can arrive. The timeout also ends the wait for a paused holder.
constexpr long RESPONSE_MARGIN_MS = 1000;

bool isNoPermitsError(const http_response &response)
{
    if (response.status != 503) {
        return false;
    }
    const outcome<json> body = parseJson(response.body);
    return body && body->is_object() && jsonValue<std::string>(body->value("error", json::object()), "code", "") == toString(error_code::no_permits);
}

} // namespace

request_forwarder::request_forwarder(node_id self, route_function route, deadline_function deadline, account_function account)
    : m_self(std::move(self))
    , m_route(std::move(route))
    , m_deadline(std::move(deadline))
    , m_account(std::move(account))
{
}

bool request_forwarder::shouldForward(const service_id &service, const http_request &request) const
{
    return m_route(service, request_id(request.header("Request-Id")), !request.header(FORWARDED_BY_HEADER).empty(), {}).kind != forwarding_action::serve;
}

long request_forwarder::timeoutOf(const service_id &service, const http_request &request) const
{
    const std::uint32_t maxDeadlineMs = m_deadline(service);
    const outcome<json> body = parseJson(request.body);
    // An invalid deadline_ms isn't refused here; the holder refuses it.
    const auto requestedMs = body && body->is_object() ? jsonValue<std::uint32_t>(*body, "deadline_ms", maxDeadlineMs) : maxDeadlineMs;
    return static_cast<long>(std::min(requestedMs, maxDeadlineMs)) + RESPONSE_MARGIN_MS;
}

std::optional<http_response> request_forwarder::forward(const service_id &service, const http_request &request) const
{
    const time_point received = system_clock().now();
    answer_record record;
    record.service = service;
    record.request = request_id(request.header("Request-Id"));
    http_call call;
    call.method = request.method;
    call.target = request.path;
    call.body = request.body;
    call.connectTimeoutMs = CONNECT_TIMEOUT_MS;
    call.timeoutMs = timeoutOf(service, request);
    call.headers = {{FORWARDED_BY_HEADER, m_self.str()}, {"Content-Type", "application/json"}};
    for (const char *name : {"Request-Id", "Caller", "Traceparent"}) {
        const std::string value = request.header(name);
        if (!value.empty()) {
            call.headers.push_back({name, value});
        }
    }
    const bool forwarded = !request.header(FORWARDED_BY_HEADER).empty();
    std::set<node_id> excludedNodes;
    for (;;) {
        const forwarding_decision decision = m_route(service, record.request, forwarded, excludedNodes);
        if (decision.kind == forwarding_action::serve) {
            return std::nullopt;
        }
        if (decision.kind == forwarding_action::refuse && (forwarded || system_clock().now() - received >= PERMIT_TRANSFER_TIMEOUT)) {
            break;
        }
        if (decision.kind == forwarding_action::refuse) {
            std::this_thread::sleep_for(PERMIT_TRANSFER_POLL_INTERVAL);
            excludedNodes.clear();
            continue;
        }
        call.address = decision.target->callerAddress;
        const http_call_result result = executeHttpCall(call);
        const bool answered = result.status == transport_status::ok;
        if (answered && !isNoPermitsError(result.response)) {
            return result.response;
        }
        if (!answered && result.mayHaveReachedServer) {
            record.latency = system_clock().now() - received;
            const bool query = request.path.ends_with("/query");
            return refuse(
                record, query ? answer_outcome::failed : answer_outcome::unknown, "the node that holds the permits gave no answer: " + result.message);
        }
        excludedNodes.insert(decision.target->id);
    }
    if (forwarded) {
        // The node that forwarded the request records the answer that its caller receives.
        return errorResponse(503, error_code::no_permits, "this node holds no permits of service " + service.str(), run_state::not_run);
    }
    record.latency = system_clock().now() - received;
    return refuse(record, answer_outcome::not_run, "no node holds permits of service " + service.str());
}

http_response request_forwarder::refuse(answer_record record, answer_outcome outcomeKind, const std::string &message) const
{
    record.outcome = outcomeKind;
    m_account(record);
    const bool notRun = outcomeKind == answer_outcome::not_run;
    return errorResponse(503, notRun ? error_code::unavailable : error_code::unknown_result, message, notRun ? run_state::not_run : run_state::unknown);
}

} // namespace snipefall
