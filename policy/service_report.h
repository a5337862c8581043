#pragma once

#include "core/json.h"
#include "policy/report_input.h"

namespace snipefall {

/** The value of "format" in a report. */
constexpr const char *REPORT_FORMAT = "snipefall-report-1";

/**
 * Builds the report of a service: the totals of the answers to its callers by outcome, version and snapshot, with their coverage. It also lists the
 * incarnations of nodes that may have given more answers than the report counts ("gaps"). All numbers are integers, so that the canonical text is the same on
 * every machine.
 */
json buildServiceReport(const report_input &input);

} // namespace snipefall
