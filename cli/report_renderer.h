#pragma once

#include <string>

#include "policy/report_verification.h"

namespace snipefall {

/** Renders a verified report as human-readable plain text. */
std::string renderReportText(const report_verification &signedReport);

/** Renders a verified report as a self-contained HTML page with SVG bar charts of coverage and latency. */
std::string renderReportHtml(const report_verification &signedReport);

} // namespace snipefall
