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
 * Passes a request on to a node that holds permits of its service, by one hop.
 *
 * A caller with an old entry answer reaches a node without permits; the whole request is passed on, so that the sub-requests need no second hop.
 */
class hop_forwarder
{
public:
    /** Decides where a request goes; @p avoided are nodes that could not be connected to just now. */
    using route_function =
        std::function<forwarding_decision(const service_id &service, const request_id &request, bool forwarded, const std::set<node_id> &avoided)>;

    /** The longest time of a request of the service in milliseconds. */
    using deadline_function = std::function<std::uint32_t(const service_id &service)>;

    /** Told of the refusals that this node itself answers, which no other node accounts. */
    using account_function = std::function<void(const answer_record &)>;

    hop_forwarder(node_id self, route_function route, deadline_function deadline, account_function account);

    /** Whether this node has no permits of the service. A request that was passed on once is never passed on again, but refused. */
    bool shouldForward(const service_id &service, const http_request &request) const;

    /**
     * Sends the request to a holder and returns its response.
     *
     * Another holder is tried only if nothing was sent, or if the holder refused because it has no permits itself. Each attempt uses a new
     * connection, so a request goes out at most once. Nothing is returned when this node received permits meanwhile and must serve it.
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
