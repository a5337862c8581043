#pragma once

#include <string>

#include "policy/report_verification.h"

namespace snipefall {

/** A verified report as plain text for people. */
std::string renderReportText(const report_verification &signedReport);

/** A verified report as a page of HTML without outside references, with SVG bars for coverage and latency. */
std::string renderReportHtml(const report_verification &signedReport);

} // namespace snipefall
