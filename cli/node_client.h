#pragma once

#include <string>

#include "core/json.h"
#include "core/outcome.h"

namespace snipefall {

/** A response from the HTTP API of a node. */
struct node_response
{
    int status = 0;
    json body;
};

/** HTTP client for the operator API and the caller API of one node. */
class node_client
{
public:
    node_client(std::string operatorAddress, std::string callerAddress, std::string token, long timeoutMs);

    outcome<node_response> get(const std::string &target) const;
    outcome<node_response> post(const std::string &target, const json &body) const;
    /** Sends a request to the caller API with @p requestId in the Request-Id header. */
    outcome<node_response> call(const std::string &method, const std::string &target, const json &body, const std::string &requestId) const;

    const std::string &callerAddress() const { return m_callerAddress; }

private:
    outcome<node_response>
    send(const std::string &address, const std::string &method, const std::string &target, const std::string &body, const std::string &requestId) const;

    std::string m_operatorAddress;
    std::string m_callerAddress;
    std::string m_token;
    long m_timeoutMs;
};

} // namespace snipefall
