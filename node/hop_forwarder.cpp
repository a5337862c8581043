#include "node/hop_forwarder.h"

#include "http/http_call.h"
#include "node/api_responses.h"

namespace snipefall {

namespace {

constexpr const char *HOP_HEADER = "Snipefall-Hop";
constexpr long CONNECT_TIMEOUT_MS = 300;

} // namespace

hop_forwarder::hop_forwarder(holders_function holders, permit_function holdsPermits)
    : m_holders(std::move(holders))
    , m_holdsPermits(std::move(holdsPermits))
{
}

bool hop_forwarder::shouldForward(const service_id &service, const http_request &request) const
{
    return request.header(HOP_HEADER).empty() && !m_holdsPermits(service);
}

http_response hop_forwarder::forward(const service_id &service, const http_request &request, long timeoutMs) const
{
    http_call call;
    call.method = request.method;
    call.target = request.path;
    call.body = request.body;
    call.connectTimeoutMs = CONNECT_TIMEOUT_MS;
    call.timeoutMs = timeoutMs;
    call.headers = {{HOP_HEADER, "1"}, {"Content-Type", "application/json"}};
    for (const char *name : {"Request-Id", "Caller", "Traceparent"}) {
        const std::string value = request.header(name);
        if (!value.empty()) {
            call.headers.push_back({name, value});
        }
    }
    for (const std::string &address : m_holders(service)) {
        call.address = address;
        const http_call_result result = executeHttpCall(call);
        if (result.status == transport_status::ok) {
            return result.response;
        }
        if (result.mayHaveReachedServer) {
            return errorResponse(503, error_code::unknown_result, "the node that holds the permits gave no answer: " + result.message, run_state::unknown);
        }
    }
    return errorResponse(503, error_code::unavailable, "no node holds permits of service " + service.str(), run_state::not_run);
}

} // namespace snipefall
