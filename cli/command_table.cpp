#include "cli/command_table.h"

#include <algorithm>
#include <fstream>
#include <set>

#include <fmt/format.h>

#include "cli/command_context.h"
#include "cli/node_client.h"
#include "cli/output_writer.h"
#include "core/nearest_name.h"
#include "core/settings_table.h"

namespace snipefall {

namespace {

const std::vector<setting_definition> &commonSettings()
{
    static const std::vector<setting_definition> s_settings = {
        {"node", setting_kind::address, "", false, 0, 0, "Operator address of a node."},
        {"caller-address", setting_kind::address, "", false, 0, 0, "Caller address of a node, for entries and query."},
        {"operator-token-file", setting_kind::file, "", false, 0, 0, "File with the operator's token."},
        {"output", setting_kind::text, "table", false, 0, 0, "Form of the output: table or json; for report also text or html."},
        {"timeout-ms", setting_kind::integer, "10000", false, 1, 600000, "Time to wait for a response."},
    };
    return s_settings;
}

constexpr std::string_view EXIT_CODES[] = {
    "0: success",
    "1: the system answered, but not with what was asked for",
    "2: unknown command or invalid argument; nothing was sent",
    "3: no node answered",
    "4: refused; nothing changed",
    "5: the answer was lost; repeat the same command to settle it",
    "6: a report's signature or hash chain does not hold",
};

settings_table settingsTableFor(const command &entry)
{
    std::vector<setting_definition> definitions = entry.settings;
    definitions.insert(definitions.end(), commonSettings().begin(), commonSettings().end());
    return settings_table("snipefall " + entry.name + (entry.arguments.empty() ? "" : " " + entry.arguments), std::move(definitions));
}

std::string readToken(const std::string &path)
{
    std::string token;
    std::ifstream file(path);
    std::getline(file, token);
    return token;
}

} // namespace

command_table::command_table(std::vector<command> commands)
    : m_commands(std::move(commands))
{
}

const command *command_table::find(const std::vector<std::string> &words) const
{
    for (const command &entry : m_commands) {
        if (words.size() >= 2 && entry.name == words[0] + " " + words[1]) {
            return &entry;
        }
        if (!words.empty() && entry.name == words[0]) {
            return &entry;
        }
    }
    return nullptr;
}

exit_code command_table::run(int argc, char **argv, char **environment) const
{
    std::vector<std::string> words;
    for (int i = 1; i < argc && argv[i][0] != '-'; ++i) {
        words.emplace_back(argv[i]);
    }
    if (words.empty() || words[0] == "help") {
        output_writer::line(help());
        return argc > 1 ? exit_code::success : exit_code::usage;
    }
    if (words[0] == "completion" || words[0] == "manual" || words[0] == "reference") {
        output_writer::line(words[0] == "completion" ? completion() : words[0] == "manual" ? manual() : referencePage());
        return exit_code::success;
    }
    const command *entry = find(words);
    if (entry == nullptr) {
        std::vector<std::string> names;
        for (const command &known : m_commands) {
            names.push_back(known.name);
        }
        const std::string given = words.size() > 1 ? words[0] + " " + words[1] : words[0];
        std::optional<std::string> nearest = nearestName(given, names);
        nearest = nearest ? nearest : nearestName(words[0], names);
        output_writer::problem("unknown command " + given + (nearest ? "; did you mean " + *nearest + "?" : "; see snipefall help"));
        return exit_code::usage;
    }
    const auto nameWords = 1 + std::count(entry->name.begin(), entry->name.end(), ' ');
    std::vector<char *> arguments{argv[0]};
    arguments.insert(arguments.end(), argv + 1 + nameWords, argv + argc);
    return runCommand(*entry, std::move(arguments), environment);
}

exit_code command_table::runCommand(const command &entry, std::vector<char *> arguments, char **environment) const
{
    // Positional arguments are allowed before and after the settings. The parser's getopt_long stops at the first positional argument, so
    // they are moved behind the settings.
    std::stable_partition(arguments.begin() + 1, arguments.end(), [previousTakesValue = false, &entry](const char *text) mutable {
        if (previousTakesValue) {
            previousTakesValue = false;
            return true;
        }
        const std::string word(text);
        if (!word.starts_with("--")) {
            return false;
        }
        std::vector<setting_definition> known = entry.settings;
        known.insert(known.end(), commonSettings().begin(), commonSettings().end());
        const auto found = std::find_if(known.begin(), known.end(), [&word](const setting_definition &definition) { return "--" + definition.name == word; });
        previousTakesValue = found != known.end() && found->kind != setting_kind::flag;
        return true;
    });
    arguments.push_back(nullptr);
    const settings_table table = settingsTableFor(entry);
    const outcome<setting_values> values = table.parse(static_cast<int>(arguments.size()) - 1, arguments.data(), environment);
    if (!values) {
        output_writer::problem(values.reason().message);
        return exit_code::usage;
    }
    if (values->flag("help")) {
        output_writer::line(helpOf(entry));
        return exit_code::success;
    }
    const std::string &output = values->text("output");
    if (output != "table" && std::find(entry.outputFormats.begin(), entry.outputFormats.end(), output) == entry.outputFormats.end()) {
        output_writer::problem(fmt::format("--output must be {}", fmt::join(entry.outputFormats, " or ")));
        return exit_code::usage;
    }
    if (values->arguments.size() != entry.argumentCount) {
        output_writer::problem(fmt::format("usage: snipefall {} {}", entry.name, entry.arguments));
        return exit_code::usage;
    }
    node_client client(values->text("node"), values->text("caller-address"), readToken(values->text("operator-token-file")), values->integer("timeout-ms"));
    return entry.run(command_context{*values, client, output == "json"});
}

std::string command_table::help() const
{
    std::string text = "Usage: snipefall COMMAND [arguments] [settings]\n\nCommands:\n";
    for (const command &entry : m_commands) {
        text += fmt::format("  {:<28} {}\n", entry.name + (entry.arguments.empty() ? "" : " " + entry.arguments), entry.summary);
    }
    text += "  completion                   Print a completion script for bash.\n  manual                       Print the manual page.\n"
            "  reference                    Print the reference page.\n\nsnipefall COMMAND --help tells a command's settings and an example.\n\nExit codes:\n";
    for (const std::string_view code : EXIT_CODES) {
        text += fmt::format("  {}\n", code);
    }
    return text;
}

std::string command_table::helpOf(const command &entry) const
{
    return entry.summary + "\n\n" + settingsTableFor(entry).help() + "\nExample:\n  " + entry.example + "\n";
}

std::string command_table::manual() const
{
    std::string text = ".TH SNIPEFALL 1\n.SH NAME\nsnipefall \\- operate a query tier over many shards\n.SH COMMANDS\n";
    for (const command &entry : m_commands) {
        text += fmt::format(".TP\n.B {} {}\n{}\nExample: {}\n", entry.name, entry.arguments, entry.summary, entry.example);
    }
    text += ".SH EXIT STATUS\n";
    for (const std::string_view code : EXIT_CODES) {
        text += fmt::format(".br\n{}\n", code);
    }
    return text;
}

std::string command_table::completion() const
{
    std::set<std::string> firstWords{"help", "completion", "manual", "reference"};
    std::string secondWords;
    for (const command &entry : m_commands) {
        const std::size_t space = entry.name.find(' ');
        firstWords.insert(entry.name.substr(0, space));
    }
    for (const std::string &first : firstWords) {
        std::string words;
        for (const command &entry : m_commands) {
            if (entry.name.starts_with(first + " ")) {
                words += entry.name.substr(first.size() + 1) + " ";
            }
        }
        if (!words.empty()) {
            secondWords += fmt::format("        {}) COMPREPLY=($(compgen -W \"{}\" -- \"$word\")) ;;\n", first, words);
        }
    }
    return fmt::format("_snipefall() {{\n    local word=\"${{COMP_WORDS[COMP_CWORD]}}\"\n    if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
                       "        COMPREPLY=($(compgen -W \"{}\" -- \"$word\"))\n        return\n    fi\n    case \"${{COMP_WORDS[1]}}\" in\n{}    esac\n}}\n"
                       "complete -F _snipefall snipefall",
                       fmt::join(firstWords, " "),
                       secondWords);
}

std::string command_table::referencePage() const
{
    std::string text = "# Command line\n\n";
    for (const command &entry : m_commands) {
        text += fmt::format(
            "## `snipefall {}{}`\n\n{}\n\n```\n{}\n```\n\n", entry.name, entry.arguments.empty() ? "" : " " + entry.arguments, entry.summary, entry.example);
        if (!entry.settings.empty()) {
            text += settings_table(entry.name, entry.settings).referencePage() + "\n";
        }
    }
    text += "## Common settings\n\n" + settings_table("snipefall", commonSettings()).referencePage() + "\n## Exit codes\n\n";
    for (const std::string_view code : EXIT_CODES) {
        text += fmt::format("- {}\n", code);
    }
    return text;
}

} // namespace snipefall
