#pragma once

#include <string>
#include <vector>

#include "core/json.h"

namespace snipefall {

/** Where the query ran, how long it waited and which version it got, a line each. */
std::vector<std::string> renderTraceHead(const json &trace);

/** A row for each sub-request, and for each missing shard without any; the first row is the heading. */
std::vector<std::vector<std::string>> renderTraceRows(const json &trace);

/** A bar for each of the shards that explain most of a slow or incomplete answer, from the reception of the query to its end. */
std::vector<std::string> renderTraceTimeline(const json &trace);

} // namespace snipefall
