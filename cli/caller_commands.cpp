#include <fmt/format.h>

#include "cli/command_context.h"
#include "cli/command_results.h"
#include "cli/commands.h"
#include "cli/node_client.h"
#include "cli/trace_renderer.h"

namespace snipefall {

namespace {

exit_code showEntries(const command_context &context)
{
    const std::string target = "/v1/entries?service=" + context.values.arguments[0];
    return showResponse(context.node.call("GET", target, nullptr, ""), context.asJson, [](const json &body) {
        for (const json &entry : body.value("entries", json::array())) {
            output_writer::line(entry.get<std::string>());
        }
        output_writer::line(fmt::format("keep for {} ms", jsonValue<std::uint64_t>(body, "ttl_ms", 0)));
    });
}

void showTrace(const json &trace)
{
    for (const std::string &line : renderTraceSummary(trace)) {
        output_writer::line(line);
    }
    output_writer::table(renderTraceRows(trace));
    for (const std::string &line : renderTraceTimeline(trace)) {
        output_writer::line(line);
    }
}

exit_code runQuery(const command_context &context)
{
    const outcome<json> query = parseJson(context.values.arguments[1]);
    json body = {{"query", query ? *query : json(context.values.arguments[1])}};
    if (context.values.integer("deadline-ms") > 0) {
        body["deadline_ms"] = context.values.integer("deadline-ms");
    }
    if (context.values.flag("trace")) {
        body["trace"] = true;
    }
    const std::string target = "/v1/services/" + context.values.arguments[0] + "/query";
    const outcome<node_response> response = context.node.call("POST", target, body, context.values.text("request-id"));
    const exit_code code = showResponse(response, context.asJson, [](const json &answer) {
        const json covered = answer.value("coverage", json::object());
        output_writer::line(fmt::format("service {} version {} snapshot {}",
                                        jsonValue<std::string>(answer, "service", ""),
                                        jsonValue<std::string>(answer, "version", ""),
                                        jsonValue<std::string>(answer, "snapshot", "")));
        output_writer::line(fmt::format("coverage: {} of {} shards, {} of {} items",
                                        jsonValue<std::uint64_t>(covered, "shards_answered", 0),
                                        jsonValue<std::uint64_t>(covered, "shards_total", 0),
                                        jsonValue<std::uint64_t>(covered, "items_seen", 0),
                                        jsonValue<std::uint64_t>(covered, "items_total", 0)));
        for (const json &shard : covered.value("missing", json::array())) {
            output_writer::line(fmt::format("missing shard {}: {}", shard.value("shard", json(0)).dump(), jsonValue<std::string>(shard, "reason", "")));
        }
        output_writer::line(fmt::format("results: {}", answer.value("results", json::array()).size()));
    });
    // Error responses carry a trace as well; it is needed most for queries that failed because they were slow.
    if (!context.asJson && response && response->body.is_object() && response->body.contains("trace")) {
        showTrace(response->body["trace"]);
    }
    return code;
}

} // namespace

std::vector<command> callerCommands()
{
    const std::vector<setting_definition> querySettings = {
        {"deadline-ms", setting_kind::integer, "0", false, 0, 60000, "Time until the answer is needed; 0 means the service's deadline."},
        {"request-id", setting_kind::text, "", false, 0, 0, "Id that appears in logs."},
        {"trace", setting_kind::flag, "false", false, 0, 0, "Show the sub-requests with their servers, times and outcomes."},
    };
    return {
        {"entries",
         "SERVICE",
         1,
         "Show which addresses callers of a service use.",
         "snipefall entries clerk-desk-01 --caller-address 10.0.0.1:7001",
         {},
         showEntries},
        {"query",
         "SERVICE QUERY",
         2,
         "Run a query and show its coverage.",
         "snipefall query clerk-desk-01 '{\"menu\":\"tea\"}' --trace --caller-address 10.0.0.1:7001",
         querySettings,
         runQuery},
    };
}

} // namespace snipefall
