#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cli/command_table.h"
#include "cli/commands.h"
#include "core/settings_table.h"
#include "node/node_settings.h"
#include "tests/cli/program_run.h"

using namespace snipefall;

namespace {

struct usage_case
{
    std::vector<std::string> arguments;
    int exitCode;
    std::vector<std::string> texts; ///< Each must be in the output.
};

std::ostream &operator<<(std::ostream &out, const usage_case &row)
{
    for (const std::string &argument : row.arguments) {
        out << argument << ' ';
    }
    return out;
}

const usage_case USAGE_CASES[] = {
    {{}, 2, {"Usage: snipefall COMMAND", "move start SERVICE VERSION"}},
    {{"help"}, 0, {"Usage: snipefall COMMAND", "Exit codes:", "  5: the answer was lost"}},
    {{"stauts"}, 2, {"unknown command stauts; did you mean status?"}},
    {{"config", "shwo"}, 2, {"unknown command config shwo; did you mean config show?"}},
    {{"move", "strat", "svc", "v2"}, 2, {"did you mean move start?"}},
    {{"zzzzzzzzzz"}, 2, {"unknown command zzzzzzzzzz; see snipefall help"}},
    {{"status", "--nod", "127.0.0.1:1", "--timeout-m", "5", "--otuput=json"}, 2, {"--otuput=json: unknown setting; did you mean --output?"}},
    {{"status", "--node", "somewhere"}, 2, {"--node: \"somewhere\" is not ip:port"}},
    {{"status", "--output", "xml"}, 2, {"--output must be table or json"}},
    {{"status"}, 2, {"the address of a node is needed"}},
    {{"status", "extra"}, 2, {"usage: snipefall status"}},
    {{"move", "start", "svc", "--deadline-s", "60", "--reason", "r"}, 2, {"usage: snipefall move start SERVICE VERSION"}},
    {{"move", "start", "svc", "v2"}, 2, {"--deadline-s: is required", "--reason: is required"}},
    {{"move", "start", "svc", "v2", "--deadline-s", "5", "--first-share-percent", "6", "--reason", "r"},
     2,
     {"--deadline-s: 5 is outside 11 to 604800", "--first-share-percent: 6 is outside 1 to 5"}},
    {{"config", "patch", "/nonexistent", "--reason", "r", "--node", "127.0.0.1:1"}, 2, {"/nonexistent"}},
    {{"move", "start", "--help"}, 0, {"Start to move", "--first-share-percent VALUE", "Default 5.", "Example:\n  snipefall move start"}},
    {{"completion"}, 0, {"complete -F _snipefall snipefall", "move) COMPREPLY=($(compgen -W \"start status rollback \""}},
    {{"manual"}, 0, {".TH SNIPEFALL 1", ".B move rollback SERVICE", ".SH EXIT STATUS"}},
};

std::string page(const std::string &name)
{
    std::ifstream file(std::filesystem::path(__FILE__).parent_path().parent_path().parent_path() / "docs" / name);
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

} // namespace

BOOST_AUTO_TEST_SUITE(command_line_tests)

// Guards against mistyped commands that are executed, fail silently or give no hint at the correct usage.
BOOST_DATA_TEST_CASE(invalidUsageIsRefusedWithHint, USAGE_CASES)
{
    const program_run run("snipefall", sample.arguments);
    BOOST_TEST(run.exitCode == sample.exitCode);
    for (const std::string &text : sample.texts) {
        BOOST_TEST(run.contains(text), "\"" << text << "\" is missing in:\n" << run.output);
    }
}

// Guards against a command that is missing in the help, completion, manual page or reference page.
BOOST_AUTO_TEST_CASE(everyCommandIsDocumented)
{
    const command_table table(allCommands());
    for (const command &entry : allCommands()) {
        BOOST_TEST_CONTEXT(entry.name)
        {
            const std::string lastWord = entry.name.substr(entry.name.rfind(' ') + 1);
            BOOST_TEST(table.help().find("  " + entry.name) != std::string::npos);
            BOOST_TEST(table.completion().find(lastWord) != std::string::npos);
            BOOST_TEST(table.manual().find(".B " + entry.name + " ") != std::string::npos);
            BOOST_TEST(table.referencePage().find("## `snipefall " + entry.name) != std::string::npos);
            BOOST_TEST(table.helpOf(entry).find(entry.example) != std::string::npos);
            BOOST_TEST(entry.example.starts_with("snipefall " + entry.name));
        }
    }
}

// Guards against outdated reference pages; scripts/make_reference_pages.sh regenerates them.
BOOST_AUTO_TEST_CASE(referencePagesAreCurrent)
{
    BOOST_TEST(page("command_line.md") == command_table(allCommands()).referencePage());
    BOOST_TEST(page("settings.md").ends_with("\n\n" + node_settings::table().referencePage()));
}

BOOST_AUTO_TEST_SUITE_END()
