#pragma once

#include "core/clock.h"
#include "core/json.h"
#include "http/http_response.h"
#include "node/query_trace_context.h"

namespace snipefall {

/** Maximum number of sub-requests in a trace, about 70 KB of JSON. A query over 350 shards with 5% hedges sends about 370. */
constexpr std::size_t MAX_TRACE_ENTRIES = 512;

/** Returns the trace as JSON; @p ended is the time at which the query ended. */
json traceToJson(const query_trace_context &context, time_point ended);

/** Adds the member "trace" to a response whose body is a JSON object. */
void addTrace(http_response &response, const query_trace_context &context, time_point ended);

} // namespace snipefall
