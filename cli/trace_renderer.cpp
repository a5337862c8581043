#include "cli/trace_renderer.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include <fmt/format.h>

namespace snipefall {

namespace {

constexpr std::size_t MAX_TIMELINE_SHARDS = 8;
constexpr std::size_t TIMELINE_COLUMNS = 60;

std::string text(const json &object, const char *key)
{
    return jsonValue<std::string>(object, key, "");
}

double milliseconds(const json &object, const char *key)
{
    return jsonValue<double>(object, key, 0.0);
}

std::uint64_t number(const json &object, const char *key)
{
    return jsonValue<std::uint64_t>(object, key, 0);
}

json list(const json &object, const char *key)
{
    const json found = object.is_object() ? object.value(key, json()) : json();
    return found.is_array() ? found : json::array();
}

char timelineMark(const json &subRequest)
{
    const std::string kind = text(subRequest, "kind");
    return kind == "hedge" ? 'h' : kind == "retry" ? 'r' : kind == "restart" ? 's' : '=';
}

/** Returns when the last sub-request of the shard ended. A sub-request without an end ran until the end of the query. */
double shardEndMs(const json &shard, double queryEnd)
{
    double end = 0.0;
    for (const json &subRequest : list(shard, "sub_requests")) {
        end = std::max(end, jsonValue<double>(subRequest, "ended_ms", queryEnd));
    }
    return end;
}

std::string timelineBar(const json &shard, double queryEnd)
{
    std::string bar(TIMELINE_COLUMNS, ' ');
    const auto columnOf = [queryEnd](double when) {
        const double share = queryEnd > 0.0 ? std::clamp(when / queryEnd, 0.0, 1.0) : 0.0;
        return std::min(TIMELINE_COLUMNS - 1, static_cast<std::size_t>(std::floor(share * static_cast<double>(TIMELINE_COLUMNS))));
    };
    // Later sub-requests overwrite earlier ones in the bar, so that a hedge stays visible next to the sub-request that it duplicates.
    for (const json &subRequest : list(shard, "sub_requests")) {
        const std::size_t first = columnOf(milliseconds(subRequest, "sent_ms"));
        const std::size_t last = columnOf(jsonValue<double>(subRequest, "ended_ms", queryEnd));
        for (std::size_t column = first; column <= std::max(first, last); ++column) {
            bar[column] = timelineMark(subRequest);
        }
    }
    return bar;
}

} // namespace

std::vector<std::string> renderTraceSummary(const json &trace)
{
    const std::string forwardedBy = text(trace, "forwarded_by");
    std::vector<std::string> lines = {
        fmt::format("served by node {}{}", text(trace, "node"), forwardedBy.empty() ? "" : ", forwarded by " + forwardedBy),
        fmt::format("version {}: {}", text(trace, "version"), text(trace, "version_reason")),
        fmt::format("{:.1f} ms in the admission queue, ended after {:.1f} ms", milliseconds(trace, "admission_wait_ms"), milliseconds(trace, "ended_ms")),
    };
    if (number(trace, "restarts") > 0) {
        lines.push_back(fmt::format("started again on a newer snapshot: {}", number(trace, "restarts")));
    }
    if (number(trace, "slots_denied") > 0) {
        lines.push_back(fmt::format("found no free slot: {}", number(trace, "slots_denied")));
    }
    if (number(trace, "omitted_shards") > 0) {
        lines.push_back(fmt::format("not shown: {} sub-requests of {} faster shards", number(trace, "omitted_sub_requests"), number(trace, "omitted_shards")));
    }
    return lines;
}

std::vector<std::vector<std::string>> renderTraceRows(const json &trace)
{
    std::vector<std::vector<std::string>> rows = {{"SHARD", "KIND", "SERVER", "SNAPSHOT", "SENT MS", "ENDED MS", "OUTCOME", "MISSING"}};
    for (const json &shard : list(trace, "shards")) {
        const std::string index = std::to_string(number(shard, "shard"));
        const std::string missing = text(shard, "missing");
        const json subRequests = list(shard, "sub_requests");
        if (subRequests.empty()) {
            rows.push_back({index, "-", "-", "-", "-", "-", "-", missing});
        }
        for (const json &subRequest : subRequests) {
            const double ended = jsonValue<double>(subRequest, "ended_ms", -1.0);
            rows.push_back({index,
                            text(subRequest, "kind"),
                            text(subRequest, "server"),
                            text(subRequest, "snapshot"),
                            fmt::format("{:.1f}", milliseconds(subRequest, "sent_ms")),
                            ended < 0.0 ? "-" : fmt::format("{:.1f}", ended),
                            text(subRequest, "outcome"),
                            missing});
        }
    }
    return rows;
}

std::vector<std::string> renderTraceTimeline(const json &trace)
{
    const double queryEnd = milliseconds(trace, "ended_ms");
    std::vector<json> shards = list(trace, "shards");
    const auto rank = [queryEnd](const json &shard) {
        return std::tuple(!text(shard, "missing").empty(), list(shard, "sub_requests").size() > 1, shardEndMs(shard, queryEnd));
    };
    std::stable_sort(shards.begin(), shards.end(), [&rank](const json &left, const json &right) { return rank(left) > rank(right); });
    const std::size_t shown = std::min(shards.size(), MAX_TIMELINE_SHARDS);
    std::vector<std::string> lines;
    if (shown == 0) {
        return lines;
    }
    lines.push_back(fmt::format("timeline of {} of {} shards, 0 to {:.1f} ms: = first, h hedge, r retry, s restart", shown, shards.size(), queryEnd));
    for (std::size_t index = 0; index < shown; ++index) {
        const std::string missing = text(shards[index], "missing");
        lines.push_back(
            fmt::format("{:>6} |{}|{}", number(shards[index], "shard"), timelineBar(shards[index], queryEnd), missing.empty() ? "" : " missing: " + missing));
    }
    return lines;
}

} // namespace snipefall
