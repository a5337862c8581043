#pragma once

#include <string>

#include "policy/report_check.h"

namespace snipefall {

/** A verified report as plain text for people. */
std::string renderReportText(const report_check &signedReport);

/** A verified report as a page of HTML without outside references, with SVG bars for coverage and latency. */
std::string renderReportHtml(const report_check &signedReport);

} // namespace snipefall
