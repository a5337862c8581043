#pragma once

#include <memory>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/query_trace.h"
#include "policy/version_choice.h"

namespace snipefall {

/** Data for the trace of one query whose caller requested it. */
struct query_trace_context
{
    node_id node; ///< The node that served the query.
    std::string forwardedBy; ///< The node that forwarded the query; empty if the caller sent it to this node.
    time_point received;
    duration admissionWait{};
    version_choice version;
    std::shared_ptr<query_trace> subRequests; ///< Never null.
};

} // namespace snipefall
