#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>

#include "core/ids.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "policy/answer_record.h"
#include "policy/forwarding_router.h"

namespace snipefall {

/**
 * Forwards a request to a node that holds permits of its service, over at most one hop.
 *
 * A caller with an outdated list of entries may reach a node without permits. That node forwards the whole request, so that the holder sends the
 * sub-requests to the backend servers directly.
 */
class request_forwarder
{
public:
    /** Decides where a request is served; @p excludedNodes holds the nodes that were unreachable or had no permits when this request was forwarded to them. */
    using route_function =
        std::function<forwarding_decision(const service_id &service, const request_id &request, bool forwarded, const std::set<node_id> &excludedNodes)>;

    /** Returns the maximum deadline of a request of the service in milliseconds. */
    using deadline_function = std::function<std::uint32_t(const service_id &service)>;

    /** Receives the record of each request that this node itself refuses, which no other node accounts for. */
    using account_function = std::function<void(const answer_record &)>;

    request_forwarder(node_id self, route_function route, deadline_function deadline, account_function account);

    /**
     * Returns whether forward() must handle the request because this node has no permits of the service.
     *
     * A request that was already forwarded is never forwarded again, but refused.
     */
    bool shouldForward(const service_id &service, const http_request &request) const;

    /**
     * Forwards the request to a holder of permits and returns the holder's response.
     *
     * Another holder is tried only if nothing was sent, or if the holder refused the request because it has no permits itself. Each attempt uses a
     * new connection, because the HTTP client may resend a request on a reused one. Returns nullopt if this node received permits meanwhile and must serve the
     * request.
     */
    std::optional<http_response> forward(const service_id &service, const http_request &request) const;

private:
    long timeoutOf(const service_id &service, const http_request &request) const;
    http_response refuse(answer_record record, answer_outcome outcomeKind, const std::string &message) const;

    const node_id m_self;
    route_function m_route;
    deadline_function m_deadline;
    account_function m_account;
};

} // namespace snipefall
