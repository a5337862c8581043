#include <fmt/format.h>

#include "cli/command_context.h"
#include "cli/command_results.h"
#include "cli/commands.h"
#include "cli/node_client.h"

namespace snipefall {

namespace {

std::string textOf(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

exit_code showStatus(const command_context &context)
{
    return showResponse(context.node.get("/v1/status"), context.asJson, [](const json &body) {
        std::vector<std::vector<std::string>> rows{{"FIELD", "VALUE"}};
        for (const auto &[key, value] : body.items()) {
            if (!value.is_array()) {
                rows.push_back({key, textOf(value)});
            }
        }
        output_writer::table(rows);
        const json members = body.value("members", json::array());
        if (members.empty()) {
            return;
        }
        std::vector<std::vector<std::string>> memberRows{{"NODE", "DOMAIN", "STATE", "CONFIGURATION"}};
        for (const json &member : members) {
            memberRows.push_back({textOf(member.value("node", json(""))),
                                  textOf(member.value("domain", json(""))),
                                  textOf(member.value("state", json(""))),
                                  textOf(member.value("configuration_version", json(0)))});
        }
        output_writer::line("");
        output_writer::table(memberRows);
    });
}

} // namespace

std::vector<command> statusCommands()
{
    return {{"status", "", 0, "Show the state of a node and of the nodes it knows.", "snipefall status --node 10.0.0.1:7002", {}, showStatus}};
}

} // namespace snipefall
