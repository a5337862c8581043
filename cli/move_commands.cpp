#include <chrono>
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

constexpr std::chrono::milliseconds MOVE_POLL_INTERVAL{200};
constexpr std::uint64_t MS_PER_SECOND = 1000;
constexpr std::size_t MOVE_ID_BYTES = 16;

std::string newMoveId()
{
    std::random_device random;
    std::string bytes;
    for (std::size_t i = 0; i < MOVE_ID_BYTES; ++i) {
        bytes += static_cast<char>(random());
    }
    return "move-" + toHex(bytes);
}

std::string authorOf(const command_context &context)
{
    const char *user = std::getenv("USER");
    return !context.values.text("author").empty() ? context.values.text("author") : user != nullptr ? user : "operator";
}

std::string targetOf(const command_context &context)
{
    return "/v1/moves/" + context.values.arguments[0];
}

void showRecord(const json &move)
{
    output_writer::line(fmt::format("move {} of {} from {} to {}: {} at {}%",
                                    jsonValue<std::string>(move, "move_id", ""),
                                    jsonValue<std::string>(move, "service", ""),
                                    jsonValue<std::string>(move, "from", ""),
                                    jsonValue<std::string>(move, "to", ""),
                                    jsonValue<std::string>(move, "state", ""),
                                    jsonValue<std::uint64_t>(move, "share_percent", 0)));
    output_writer::line("reason: " + jsonValue<std::string>(move, "reason", ""));
}

exit_code startMove(const command_context &context)
{
    const std::string id = context.values.text("move-id").empty() ? newMoveId() : context.values.text("move-id");
    const json body = {{"move_id", id},
                       {"to", context.values.arguments[1]},
                       {"deadline_in_ms", static_cast<std::uint64_t>(context.values.integer("deadline-s")) * MS_PER_SECOND},
                       {"observation_ms", static_cast<std::uint64_t>(context.values.integer("observation-s")) * MS_PER_SECOND},
                       {"first_share_percent", static_cast<std::uint64_t>(context.values.integer("first-share-percent"))},
                       {"author", authorOf(context)},
                       {"reason", context.values.text("reason")}};
    const outcome<node_response> response = context.node.post(targetOf(context), body);
    const exit_code code = showResponse(response, context.asJson, showRecord);
    if (code == exit_code::unknown) {
        output_writer::problem("repeat the command with --move-id " + id);
    }
    return code;
}

exit_code rollBackMove(const command_context &context)
{
    const json body = {{"author", authorOf(context)}, {"reason", context.values.text("reason")}};
    return showResponse(context.node.post(targetOf(context) + "/rollback", body), context.asJson, showRecord);
}

// A running move has no result yet. A script that queries the status once gets the same exit code as for "not_yet_known".
exit_code exitCodeForOutcome(const std::string &outcomeName)
{
    return outcomeName == "done" ? exit_code::success : outcomeName == "rolled_back" ? exit_code::failed : exit_code::unknown;
}

// Prints each step of a move once, over repeated status responses. Prints nothing when silent.
class step_printer
{
public:
    explicit step_printer(bool silent)
        : m_silent(silent)
    {
    }

    void show(const json &move)
    {
        const std::string id = jsonValue<std::string>(move, "move_id", "");
        if (id != m_moveId) {
            m_moveId = id;
            m_printedSteps = 0;
            m_silent ? void() : showRecord(move);
        }
        const json steps = move.value("steps", json::array());
        for (; m_printedSteps < steps.size(); ++m_printedSteps) {
            const std::uint64_t started = jsonValue<std::uint64_t>(move, "started_ms", 0);
            const std::uint64_t at = std::max(started, jsonValue<std::uint64_t>(steps[m_printedSteps], "started_ms", started));
            if (!m_silent) {
                output_writer::line(fmt::format("{:>8.1f} s  {:<11}  {}%",
                                                static_cast<double>(at - started) / MS_PER_SECOND,
                                                jsonValue<std::string>(steps[m_printedSteps], "state", ""),
                                                jsonValue<std::uint64_t>(steps[m_printedSteps], "share_percent", 0)));
            }
        }
    }

private:
    bool m_silent;
    std::string m_moveId;
    std::size_t m_printedSteps = 0;
};

void showResult(const command_context &context, const json &move, const std::string &outcomeName)
{
    if (context.asJson) {
        output_writer::document(move);
        return;
    }
    output_writer::line("outcome: " + outcomeName);
    if (outcomeName == "rolled_back") {
        output_writer::line("reason: " + jsonValue<std::string>(move, "reason", ""));
    }
    if (const std::string stopped = jsonValue<std::string>(move, "stopped_here", ""); !stopped.empty()) {
        output_writer::line("this node sends nothing to the new version: " + stopped);
    }
}

// With --wait, polls the move until it is done or rolled back. Polling ends when the node has not reported "running" for --timeout-ms, because
// a platform outage can last longer than an operator or script should wait.
exit_code showMoveStatus(const command_context &context)
{
    const bool waitForResult = context.values.flag("wait");
    const auto pollTimeout = std::chrono::milliseconds(context.values.integer("timeout-ms"));
    step_printer steps(context.asJson);
    time_point lastRunning = system_clock().now();
    for (;;) {
        const outcome<node_response> response = context.node.get(targetOf(context));
        const bool found = response && response->status == 200;
        const std::string outcomeName = found ? jsonValue<std::string>(response->body, "outcome", "not_yet_known") : "";
        if (found) {
            steps.show(response->body);
        }
        const time_point now = system_clock().now();
        lastRunning = outcomeName == "running" ? now : lastRunning;
        const bool settled = outcomeName == "done" || outcomeName == "rolled_back";
        if (found && (settled || !waitForResult || now - lastRunning > pollTimeout)) {
            showResult(context, response->body, outcomeName);
            return exitCodeForOutcome(outcomeName);
        }
        if (!found && (!waitForResult || now - lastRunning > pollTimeout)) {
            const exit_code code = showResponse(response, context.asJson, [](const json &) {});
            return response && response->status == 404 ? exit_code::unknown : code;
        }
        std::this_thread::sleep_for(MOVE_POLL_INTERVAL);
    }
}

} // namespace

std::vector<command> moveCommands()
{
    const setting_definition reason = {"reason", setting_kind::text, "", true, 0, 0, "Why it is done; kept in the move's record."};
    const setting_definition author = {"author", setting_kind::text, "", false, 0, 0, "Who does it; a token's name goes before it."};
    const std::vector<setting_definition> startSettings = {
        {"deadline-s", setting_kind::integer, "", true, 11, 604800, "Seconds until the move must be done; otherwise it is rolled back."},
        {"observation-s", setting_kind::integer, "60", false, 0, 86400, "Seconds after its end in which a fault still rolls the move back."},
        {"first-share-percent", setting_kind::integer, "5", false, 1, 5, "Share of the traffic that the new version gets at first."},
        {"move-id", setting_kind::text, "", false, 0, 0, "Id of the move; give the same one to repeat a start whose answer was lost."},
        reason,
        author,
    };
    const std::vector<setting_definition> statusSettings = {
        {"wait",
         setting_kind::flag,
         "false",
         false,
         0,
         0,
         "Print each step as it happens until the move is done or rolled back, or its state is not known for --timeout-ms."},
    };
    return {
        {"move start",
         "SERVICE VERSION",
         2,
         "Start to move a service's traffic to another version of backend servers.",
         "snipefall move start clerk-desk-01 v2 --deadline-s 600 --reason \"release 2\" --node 10.0.0.1:7002",
         startSettings,
         startMove},
        {"move status",
         "SERVICE",
         1,
         "Show the newest move of a service; exit code 0: done, 1: rolled back, 5: not yet known.",
         "snipefall move status clerk-desk-01 --wait --node 10.0.0.1:7002",
         statusSettings,
         showMoveStatus},
        {"move rollback",
         "SERVICE",
         1,
         "Roll a move back.",
         "snipefall move rollback clerk-desk-01 --reason \"wrong totals\" --node 10.0.0.1:7002",
         {reason, author},
         rollBackMove},
    };
}

} // namespace snipefall
