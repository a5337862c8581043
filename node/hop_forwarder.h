#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "http/http_request.h"
#include "http/http_response.h"

namespace snipefall {

/**
 * Passes a request on to a node that holds permits of its service, by one hop.
 *
 * A caller with an old entry answer reaches a node without permits; the whole request is passed on, so that the sub-requests need no second hop.
 */
class hop_forwarder
{
public:
    using holders_function = std::function<std::vector<std::string>(const service_id &)>;
    using permit_function = std::function<bool(const service_id &)>;

    hop_forwarder(holders_function holders, permit_function holdsPermits);

    /** Whether this node must pass the request on. A request that was passed on once is never passed on again. */
    bool shouldForward(const service_id &service, const http_request &request) const;

    /**
     * Sends the request to a holder and returns its response.
     *
     * Another holder is tried only if nothing was sent. Each attempt uses a new connection, so a request goes out at most once.
     */
    http_response forward(const service_id &service, const http_request &request, long timeoutMs) const;

private:
    holders_function m_holders;
    permit_function m_holdsPermits;
};

} // namespace snipefall
