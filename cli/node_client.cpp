#include "cli/node_client.h"

#include "http/http_call.h"

namespace snipefall {

node_client::node_client(std::string operatorAddress, std::string callerAddress, std::string token, long timeoutMs)
    : m_operatorAddress(std::move(operatorAddress))
    , m_callerAddress(std::move(callerAddress))
    , m_token(std::move(token))
    , m_timeoutMs(timeoutMs)
{
}

outcome<node_response> node_client::get(const std::string &target) const
{
    return send(m_operatorAddress, "GET", target, "", "");
}

outcome<node_response> node_client::post(const std::string &target, const json &body) const
{
    return send(m_operatorAddress, "POST", target, body.dump(), "");
}

outcome<node_response> node_client::call(const std::string &method, const std::string &target, const json &body, const std::string &requestId) const
{
    return send(m_callerAddress, method, target, body.is_null() ? "" : body.dump(), requestId);
}

outcome<node_response>
node_client::send(const std::string &address, const std::string &method, const std::string &target, const std::string &body, const std::string &requestId) const
{
    if (address.empty()) {
        return failure{error_code::invalid_argument, "the address of a node is needed: --node or --caller-address"};
    }
    http_call call;
    call.address = address;
    call.method = method;
    call.target = target;
    call.body = body;
    call.timeoutMs = m_timeoutMs;
    call.connectTimeoutMs = m_timeoutMs;
    if (!body.empty()) {
        call.headers.push_back({"Content-Type", "application/json"});
    }
    if (!m_token.empty()) {
        call.headers.push_back({"Authorization", "Bearer " + m_token});
    }
    if (!requestId.empty()) {
        call.headers.push_back({"Request-Id", requestId});
    }
    const http_call_result result = executeHttpCall(call);
    if (result.status != transport_status::ok) {
        const error_code code = result.mayHaveReachedServer ? error_code::unknown_result : error_code::unavailable;
        return failure{code, "node " + address + ": " + result.message};
    }
    const outcome<json> parsed = parseJson(result.response.body);
    if (!parsed) {
        return failure{error_code::internal, "node " + address + " answered with status " + std::to_string(result.response.status) + " and no JSON"};
    }
    return node_response{result.response.status, *parsed};
}

} // namespace snipefall
