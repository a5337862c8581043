#pragma once

#include "core/json.h"
#include "policy/report_input.h"

namespace snipefall {

/** The value of "format" in a report. */
constexpr const char *REPORT_FORMAT = "snipefall-report-1";

/**
 * The report of a service: what callers were answered, from which data and with what coverage, and which incarnations of nodes may have
 * answered more than the report counts ("gaps"). Numbers are integers, so that the canonical text is the same everywhere.
 */
json buildServiceReport(const report_input &input);

} // namespace snipefall
