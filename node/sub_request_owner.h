#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "http/sub_request.h"

namespace snipefall {

/** Interface through which sub_request_dispatcher builds, cancels and completes the sub-requests of a query. */
class sub_request_owner
{
public:
    virtual ~sub_request_owner() = default;

    /** Builds the request immediately before it is sent. */
    virtual sub_request makeRequest(sub_request_id subRequestId) = 0;
    /** Builds the request that asks the server to stop working on a sub-request. */
    virtual sub_request makeCancel(sub_request_id subRequestId) = 0;
    /** Called when a server for which the owner waits has a free slot. Returns whether the owner started a sub-request on any server. */
    virtual bool onSlotFree(const backend_server_id &server) = 0;
    /** The median latency of the servers' version; 0 while it is unknown. */
    virtual duration versionMedianLatency() const = 0;
    virtual void onCompleted(sub_request_id subRequestId, const sub_response &response) = 0;
};

} // namespace snipefall
