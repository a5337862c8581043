#include <chrono>
#include <fstream>
#include <iterator>
#include <random>
#include <thread>

#include <fmt/format.h>

#include "cli/command_context.h"
#include "cli/command_results.h"
#include "cli/commands.h"
#include "cli/node_client.h"
#include "core/clock.h"
#include "core/hex.h"

namespace snipefall {

namespace {

constexpr std::chrono::milliseconds CONFIG_POLL_INTERVAL{200};

std::string newPatchId()
{
    std::random_device random;
    std::string bytes;
    for (int i = 0; i < 16; ++i) {
        bytes += static_cast<char>(random());
    }
    return "patch-" + toHex(bytes);
}

std::string operatorName()
{
    const char *user = std::getenv("USER");
    return user != nullptr ? user : "operator";
}

outcome<json> readMerge(const std::string &path)
{
    std::ifstream file(path);
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    outcome<json> merge = parseJson(text);
    if (!merge) {
        return failure{error_code::invalid_argument, path + ": " + merge.reason().message};
    }
    return merge;
}

void printDiff(const json &before, const json &after)
{
    for (const json &change : json::diff(before, after)) {
        const std::string path = change["path"].get<std::string>();
        if (change["op"] != "add") {
            output_writer::line("- " + path + ": " + before.at(json::json_pointer(path)).dump());
        }
        if (change["op"] != "remove") {
            output_writer::line("+ " + path + ": " + change["value"].dump());
        }
    }
}

exit_code waitUntilInForce(const command_context &context, std::uint64_t version)
{
    const time_point end = system_clock().now() + std::chrono::milliseconds(context.values.integer("timeout-ms"));
    std::string last;
    while (system_clock().now() < end) {
        const outcome<node_response> status = context.node.get("/v1/status");
        if (status && status->status == 200) {
            std::size_t inForce = 0;
            std::size_t nodes = 0;
            for (const json &member : status->body.value("members", json::array())) {
                if (jsonValue<std::string>(member, "state", "") != "alive") {
                    continue;
                }
                ++nodes;
                inForce += jsonValue<std::uint64_t>(member, "configuration_version", 0) >= version ? 1 : 0;
            }
            const std::string text = fmt::format("version {} is in force on {} of {} nodes", version, inForce, nodes);
            if (text != last) {
                output_writer::line(text);
            }
            last = text;
            if (nodes > 0 && inForce == nodes) {
                return exit_code::success;
            }
        }
        std::this_thread::sleep_for(CONFIG_POLL_INTERVAL);
    }
    output_writer::problem("not in force on all nodes within the timeout");
    return exit_code::failed;
}

// Prints the diff, submits the patch with the version it was computed from or --base-version as its base, and with --wait waits until it is
// in force.
exit_code submitMerge(const command_context &context, const json &merge)
{
    const outcome<node_response> current = context.node.get("/v1/config");
    if (!current || current->status != 200) {
        return current ? printErrorResponse(*current) : printFailure(current.reason());
    }
    const json before = current->body.value("document", json::object());
    json after = before;
    after.merge_patch(merge);
    std::uint64_t base = jsonValue<std::uint64_t>(current->body, "version", 0);
    if (context.values.integer("base-version") >= 0) {
        base = static_cast<std::uint64_t>(context.values.integer("base-version"));
    }
    if (!context.asJson) {
        output_writer::line(fmt::format("against version {}:", base));
        printDiff(before, after);
    }
    if (context.values.flag("dry-run")) {
        return exit_code::success;
    }
    const std::string id = context.values.text("patch-id").empty() ? newPatchId() : context.values.text("patch-id");
    const json patch = {{"patch_id", id},
                        {"base_version", base},
                        {"author", context.values.text("author").empty() ? operatorName() : context.values.text("author")},
                        {"reason", context.values.text("reason")},
                        {"submitted_ms", wallClockMs()},
                        {"merge", merge}};
    const outcome<node_response> response = context.node.post("/v1/config/patches", patch);
    if (!response && response.reason().code == error_code::unknown_result) {
        output_writer::problem("repeat the command with --patch-id " + id);
    }
    const exit_code code = showResponse(response, context.asJson, [](const json &body) { output_writer::line(jsonValue<std::string>(body, "message", "")); });
    if (code == exit_code::success && context.values.flag("wait")) {
        return waitUntilInForce(context, jsonValue<std::uint64_t>(response->body, "version", 0));
    }
    return code;
}

exit_code applyPatch(const command_context &context)
{
    const outcome<json> merge = readMerge(context.values.arguments[0]);
    return merge ? submitMerge(context, *merge) : printFailure(merge.reason());
}

exit_code diffPatch(const command_context &context)
{
    const outcome<json> merge = readMerge(context.values.arguments[0]);
    if (!merge) {
        return printFailure(merge.reason());
    }
    return showResponse(context.node.get("/v1/config"), false, [&](const json &body) {
        const json before = body.value("document", json::object());
        json after = before;
        after.merge_patch(*merge);
        context.asJson ? output_writer::document(json::diff(before, after)) : printDiff(before, after);
    });
}

exit_code showConfig(const command_context &context)
{
    return showResponse(context.node.get("/v1/config"), context.asJson, [](const json &body) {
        output_writer::line(fmt::format("version {}", jsonValue<std::uint64_t>(body, "version", 0)));
        output_writer::document(body.value("document", json::object()));
    });
}

exit_code showHistory(const command_context &context)
{
    return showResponse(context.node.get("/v1/config/patches?after=" + context.values.text("after-version")), context.asJson, [](const json &body) {
        std::vector<std::vector<std::string>> rows{{"VERSION", "AUTHOR", "REASON", "PATCH"}};
        for (const json &patch : body.value("patches", json::array())) {
            rows.push_back({std::to_string(jsonValue<std::uint64_t>(patch, "version", 0)),
                            jsonValue<std::string>(patch, "author", ""),
                            jsonValue<std::string>(patch, "reason", ""),
                            patch.value("merge", json()).dump()});
        }
        output_writer::table(rows);
    });
}

exit_code setDomain(const command_context &context, const json &value)
{
    return submitMerge(context, {{"domains_out", {{context.values.arguments[0], value}}}});
}

exit_code showServices(const command_context &context)
{
    return showResponse(context.node.get("/v1/config"), context.asJson, [](const json &body) {
        std::vector<std::vector<std::string>> rows{{"SERVICE", "VERSION", "POLICY", "DEADLINE_MS", "OPEN"}};
        // items() holds a reference to the JSON object, so the object must outlive the loop.
        const json services = body.value("document", json::object()).value("services", json::object());
        for (const auto &[name, settings] : services.items()) {
            rows.push_back({name,
                            jsonValue<std::string>(settings, "version", ""),
                            jsonValue<std::string>(settings, "answer_policy", "wait_for_coverage"),
                            settings.value("deadline_ms", json(2000)).dump(),
                            settings.value("open", json(true)).dump()});
        }
        output_writer::table(rows);
    });
}

} // namespace

std::vector<command> configCommands()
{
    const std::vector<setting_definition> patchSettings = {
        {"reason", setting_kind::text, "", true, 0, 0, "Why the change is made; kept in the audit trail."},
        {"author", setting_kind::text, "", false, 0, 0, "Who makes the change; a token's name goes before it."},
        {"base-version", setting_kind::integer, "-1", false, -1, 1L << 60, "Version the patch applies to; by default the newest one, as shown in the diff."},
        {"patch-id", setting_kind::text, "", false, 0, 0, "Id of the patch; give the same one to repeat a patch whose answer was lost."},
        {"dry-run", setting_kind::flag, "false", false, 0, 0, "Show the diff and send nothing."},
        {"wait", setting_kind::flag, "false", false, 0, 0, "Wait until the change is in force on all nodes."},
    };
    const std::vector<setting_definition> historySettings = {
        {"after-version", setting_kind::integer, "0", false, 0, 1L << 60, "Show only newer versions."},
    };
    return {
        {"config show", "", 0, "Show the configuration in force and its version.", "snipefall config show --node 10.0.0.1:7002", {}, showConfig},
        {"config diff", "FILE", 1, "Show what a merge patch (RFC 7396) would change.", "snipefall config diff patch.json --node 10.0.0.1:7002", {}, diffPatch},
        {"config patch",
         "FILE",
         1,
         "Submit a merge patch (RFC 7396) against the version that the diff shows.",
         "snipefall config patch patch.json --reason \"longer deadline\" --node 10.0.0.1:7002",
         patchSettings,
         applyPatch},
        {"config history", "", 0, "List accepted patches.", "snipefall config history --after-version 40 --node 10.0.0.1:7002", historySettings, showHistory},
        {"service", "", 0, "List the services and their main settings.", "snipefall service --node 10.0.0.1:7002", {}, showServices},
        {"domain out",
         "DOMAIN",
         1,
         "Take a failure domain out of service: it gets no new work.",
         "snipefall domain out domain-a --reason maintenance --wait --node 10.0.0.1:7002",
         patchSettings,
         [](const command_context &context) { return setDomain(context, true); }},
        {"domain in",
         "DOMAIN",
         1,
         "Return a failure domain to service.",
         "snipefall domain in domain-a --reason \"maintenance done\" --wait --node 10.0.0.1:7002",
         patchSettings,
         [](const command_context &context) { return setDomain(context, nullptr); }},
    };
}

} // namespace snipefall
