#pragma once

#include <string>
#include <vector>

#include "core/json.h"

namespace snipefall {

/** Returns summary lines: the node that served the query, the version it was routed to, its admission wait and, if any, restarts and omissions. */
std::vector<std::string> renderTraceSummary(const json &trace);

/** Returns a table row for each sub-request and for each shard without sub-requests. The first row is the heading. */
std::vector<std::vector<std::string>> renderTraceRows(const json &trace);

/**
 * Returns a timeline bar, from the reception of the query to its end, for each of the shards that contribute most to a slow or incomplete answer:
 * missing shards first, then shards with several sub-requests, then the slowest.
 */
std::vector<std::string> renderTraceTimeline(const json &trace);

} // namespace snipefall
