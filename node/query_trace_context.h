#pragma once

#include <memory>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/query_trace.h"
#include "policy/version_choice.h"

namespace snipefall {

/** What a node tells of one query whose caller asked for the trace. */
struct query_trace_context
{
    node_id node; ///< The node that served the query.
    std::string forwardedBy; ///< The node that passed the query on; empty when its caller sent it here.
    time_point received;
    duration admissionWait{};
    version_choice version;
    std::shared_ptr<query_trace> subRequests; ///< Never empty.
};

} // namespace snipefall
