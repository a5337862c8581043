#include "cli/report_renderer.h"

#include <algorithm>
#include <ctime>
#include <vector>

#include <fmt/format.h>

#include "core/signing_key.h"

namespace snipefall {

namespace {

using row = std::vector<std::string>;

constexpr std::uint64_t BAR_WIDTH_PX = 400;
constexpr std::uint64_t BAR_HEIGHT_PX = 18;
constexpr std::size_t LABEL_WIDTH_PX = 110;

struct section
{
    std::string title;
    std::vector<row> rows; ///< The first row is the heading.
};

struct bar
{
    std::string label;
    std::uint64_t value = 0;
    std::string text;
};

std::uint64_t number(const json &object, const char *key)
{
    return jsonValue<std::uint64_t>(object, key, 0);
}

std::string text(const json &object, const char *key)
{
    return jsonValue<std::string>(object, key, "");
}

std::string timeText(std::uint64_t ms)
{
    const auto seconds = static_cast<std::time_t>(ms / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char buffer[32];
    std::strftime(buffer, sizeof buffer, "%Y-%m-%d %H:%M:%S", &parts);
    return fmt::format("{}.{:03} UTC", buffer, ms % 1000);
}

std::string milliseconds(const json &totals, const char *quantile)
{
    return fmt::format("{:.1f}", static_cast<double>(number(totals.value("latency_us", json::object()), quantile)) / 1000.0);
}

std::string share(const json &totals)
{
    const std::uint64_t total = number(totals, "items_total");
    return total == 0 ? "-" : fmt::format("{:.3f}%", 100.0 * static_cast<double>(number(totals, "items_seen")) / static_cast<double>(total));
}

row totalsRow(row labels, const json &totals)
{
    for (const std::string &cell : {std::to_string(number(totals, "answers")),
                                    share(totals),
                                    milliseconds(totals, "p50"),
                                    milliseconds(totals, "p95"),
                                    milliseconds(totals, "p99"),
                                    milliseconds(totals, "max"),
                                    std::to_string(number(totals, "first_sub_requests")),
                                    std::to_string(number(totals, "extra_sub_requests"))}) {
        labels.push_back(cell);
    }
    return labels;
}

section answersSection(const json &report)
{
    section part{"Answers", {{"OUTCOME", "VERSION", "SNAPSHOT", "ANSWERS", "ITEMS SEEN", "P50 MS", "P95 MS", "P99 MS", "MAX MS", "FIRST", "EXTRA"}}};
    for (const json &group : report.value("groups", json::array())) {
        part.rows.push_back(totalsRow({text(group, "outcome"), text(group, "version"), text(group, "snapshot")}, group));
    }
    part.rows.push_back(totalsRow({"all", "", ""}, report.value("totals", json::object())));
    return part;
}

section nodesSection(const json &report)
{
    section part{"Counted by", {{"NODE", "INCARNATION", "FROM", "TO", "ANSWERS", "FINAL"}}};
    for (const json &node : report.value("nodes", json::array())) {
        part.rows.push_back({text(node, "node"),
                             std::to_string(number(node, "incarnation")),
                             timeText(number(node, "from_ms")),
                             timeText(number(node, "to_ms")),
                             std::to_string(number(node, "answers")),
                             jsonValue<bool>(node, "closed", false) ? "yes" : "no"});
    }
    return part;
}

section gapsSection(const json &report)
{
    section part{"Gaps: answers in these times may not be counted", {{"NODE", "INCARNATION", "SAVED TO", "UNTIL"}}};
    for (const json &gap : report.value("gaps", json::array())) {
        part.rows.push_back(
            {text(gap, "node"), std::to_string(number(gap, "incarnation")), timeText(number(gap, "saved_to_ms")), timeText(number(gap, "until_ms"))});
    }
    return part;
}

section movesSection(const json &report)
{
    section part{"Moves between versions", {{"FROM", "TO", "STATE", "STEP", "SHARE", "AT", "REASON"}}};
    for (const json &move : report.value("moves", json::array())) {
        for (const json &step : move.value("steps", json::array())) {
            part.rows.push_back({text(move, "from"),
                                 text(move, "to"),
                                 text(move, "state"),
                                 text(step, "state"),
                                 fmt::format("{}%", number(step, "share_percent")),
                                 timeText(number(step, "started_ms")),
                                 text(move, "reason")});
        }
    }
    return part;
}

section unknownSection(const json &report)
{
    section part{"Requests that may have run", {{"REQUEST ID"}}};
    for (const json &request : report.value("unknown_requests", json::array())) {
        part.rows.push_back({request.is_string() ? request.get<std::string>() : request.dump()});
    }
    if (const std::uint64_t unlisted = number(report, "unlisted_unknown_requests_at_most"); unlisted > 0) {
        part.rows.push_back({fmt::format("and at most {} more", unlisted)});
    }
    return part;
}

std::vector<section> sectionsOf(const json &report)
{
    return {answersSection(report), nodesSection(report), gapsSection(report), movesSection(report), unknownSection(report)};
}

std::vector<std::pair<std::string, std::string>> headerFields(const report_verification &signedReport)
{
    const json &report = signedReport.report;
    const json closing = report.value("closing", json::object());
    const json audit = report.value("audit", json::object());
    const std::string head = audit.is_object() ? text(audit, "head_hash") : "";
    return {{"Service", text(report, "service")},
            {"Closed by", text(closing, "author")},
            {"Reason", text(closing, "reason")},
            {"Collected", timeText(number(report, "collected_ms"))},
            {"Signed by", signedReport.signer + ", " + timeText(signedReport.signedMs)},
            {"Key fingerprint", keyFingerprint(signedReport.publicKey)},
            {"Audit head hash", head.empty() ? "none" : head}};
}

std::vector<bar> coverageBars(const json &report)
{
    std::vector<bar> bars;
    const json histogram = report.value("totals", json::object()).value("coverage_histogram", json::array());
    for (std::size_t i = 0; i < histogram.size(); ++i) {
        const std::uint64_t count = histogram[i].is_number_unsigned() ? histogram[i].get<std::uint64_t>() : 0;
        bars.push_back({i + 1 == histogram.size() ? "100%" : fmt::format("{}-{}%", i * 10, (i + 1) * 10), count, std::to_string(count)});
    }
    return bars;
}

std::vector<bar> latencyBars(const json &report)
{
    std::vector<bar> bars;
    const json totals = report.value("totals", json::object());
    for (const char *quantile : {"p50", "p95", "p99", "max"}) {
        bars.push_back({quantile, number(totals.value("latency_us", json::object()), quantile), milliseconds(totals, quantile) + " ms"});
    }
    return bars;
}

std::string escapeHtml(const std::string &raw)
{
    std::string safe;
    for (const char c : raw) {
        switch (c) {
        case '&':
            safe += "&amp;";
            break;
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        case '"':
            safe += "&quot;";
            break;
        default:
            safe += c;
        }
    }
    return safe;
}

std::uint64_t largestOf(const std::vector<bar> &bars)
{
    std::uint64_t largest = 1;
    for (const bar &entry : bars) {
        largest = std::max(largest, entry.value);
    }
    return largest;
}

std::string svgBarChart(const std::string &title, const std::vector<bar> &bars)
{
    const std::uint64_t largest = largestOf(bars);
    std::string page = fmt::format("<h2>{}</h2><svg width=\"{}\" height=\"{}\" role=\"img\" aria-label=\"{}\">",
                                   title,
                                   LABEL_WIDTH_PX + BAR_WIDTH_PX + 120,
                                   bars.size() * (BAR_HEIGHT_PX + 4),
                                   title);
    std::uint64_t y = 0;
    for (const bar &entry : bars) {
        const std::uint64_t width = entry.value * BAR_WIDTH_PX / largest;
        page += fmt::format("<text x=\"0\" y=\"{0}\">{1}</text><rect x=\"{2}\" y=\"{3}\" width=\"{4}\" height=\"{5}\" fill=\"#47a\"/>"
                            "<text x=\"{6}\" y=\"{0}\">{7}</text>",
                            y + BAR_HEIGHT_PX - 4,
                            escapeHtml(entry.label),
                            LABEL_WIDTH_PX,
                            y,
                            width,
                            BAR_HEIGHT_PX,
                            LABEL_WIDTH_PX + width + 6,
                            escapeHtml(entry.text));
        y += BAR_HEIGHT_PX + 4;
    }
    return page + "</svg>\n";
}

std::string htmlTable(const section &part)
{
    std::string page = "<h2>" + escapeHtml(part.title) + "</h2>\n";
    if (part.rows.size() < 2) {
        return page + "<p>none</p>\n";
    }
    page += "<table>\n";
    const char *cellName = "th";
    for (const row &cells : part.rows) {
        page += "<tr>";
        for (const std::string &cell : cells) {
            page += fmt::format("<{0}>{1}</{0}>", cellName, escapeHtml(cell));
        }
        page += "</tr>\n";
        cellName = "td";
    }
    return page + "</table>\n";
}

std::string textTable(const section &part)
{
    std::string page = "\n" + part.title + "\n";
    if (part.rows.size() < 2) {
        return page + "  none\n";
    }
    std::vector<std::size_t> widths(part.rows.front().size(), 0);
    for (const row &cells : part.rows) {
        for (std::size_t i = 0; i < cells.size(); ++i) {
            widths[i] = std::max(widths[i], cells[i].size());
        }
    }
    for (const row &cells : part.rows) {
        std::string line = " ";
        for (std::size_t i = 0; i < cells.size(); ++i) {
            line += fmt::format(" {:<{}}", cells[i], widths[i]);
        }
        page += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
    }
    return page;
}

} // namespace

std::string renderReportText(const report_verification &signedReport)
{
    std::string page;
    for (const auto &[name, value] : headerFields(signedReport)) {
        page += fmt::format("{:<17} {}\n", name, value);
    }
    for (const section &part : sectionsOf(signedReport.report)) {
        page += textTable(part);
    }
    page += "\nAnswers by share of items seen\n";
    for (const bar &entry : coverageBars(signedReport.report)) {
        page += fmt::format("  {:>7} {}\n", entry.label, entry.text);
    }
    return page;
}

std::string renderReportHtml(const report_verification &signedReport)
{
    std::string page = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Report of service "
        + escapeHtml(text(signedReport.report, "service"))
        + "</title><style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}"
          "td,th{border:1px solid #999;padding:2px 8px;text-align:left}svg text{font-size:13px}</style></head><body>\n<h1>Report of service "
        + escapeHtml(text(signedReport.report, "service")) + "</h1>\n<dl>\n";
    for (const auto &[name, value] : headerFields(signedReport)) {
        page += fmt::format("<dt>{}</dt><dd>{}</dd>\n", escapeHtml(name), escapeHtml(value));
    }
    page +=
        "</dl>\n" + svgBarChart("Answers by share of items seen", coverageBars(signedReport.report)) + svgBarChart("Latency", latencyBars(signedReport.report));
    for (const section &part : sectionsOf(signedReport.report)) {
        page += htmlTable(part);
    }
    return page + "</body></html>\n";
}

} // namespace snipefall
