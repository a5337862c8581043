#include "core/settings_table.h"

#include <algorithm>
#include <cctype>
#include <cstring>

#include <fmt/format.h>
#include <getopt.h>
#include <unistd.h>

#include "core/nearest_name.h"

namespace snipefall {

namespace {

constexpr std::string_view ENVIRONMENT_PREFIX = "SNIPEFALL_";

bool isAddress(const std::string &value)
{
    const std::size_t colon = value.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    const std::string port = value.substr(colon + 1);
    if (port.empty() || port.size() > 5 || !std::all_of(port.begin(), port.end(), [](unsigned char c) { return std::isdigit(c) != 0; })) {
        return false;
    }
    const std::string host = value.substr(0, colon);
    const bool ipCharacters = std::all_of(host.begin(), host.end(), [](unsigned char c) { return std::isxdigit(c) != 0 || std::strchr(".:[]", c) != nullptr; });
    return ipCharacters && std::stol(port) > 0 && std::stol(port) < 65536;
}

std::string normalizedFlag(const std::string &value)
{
    return value == "1" || value == "true" ? "true" : value == "0" || value == "false" || value.empty() ? "false" : value;
}

} // namespace

settings_table::settings_table(std::string program, std::vector<setting_definition> definitions)
    : m_program(std::move(program))
    , m_definitions(std::move(definitions))
{
    m_definitions.push_back({"help", setting_kind::flag, "false", false, 0, 0, "Print this text and exit."});
}

std::string settings_table::environmentName(std::string_view settingName)
{
    std::string name(ENVIRONMENT_PREFIX);
    for (const char c : settingName) {
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return name;
}

std::vector<std::string> settings_table::settingNames() const
{
    std::vector<std::string> result;
    for (const setting_definition &definition : m_definitions) {
        result.push_back(definition.name);
    }
    return result;
}

std::string settings_table::validationError(const setting_definition &definition, const std::string &value) const
{
    const std::string subject = fmt::format("--{}: ", definition.name);
    if (value.empty()) {
        return definition.required ? subject + "is required" : "";
    }
    switch (definition.kind) {
    case setting_kind::text:
        return "";
    case setting_kind::address:
        return isAddress(value) ? "" : fmt::format("{}\"{}\" is not ip:port", subject, value);
    case setting_kind::address_list: {
        setting_values single;
        single.set(definition.name, value);
        for (const std::string &part : single.list(definition.name)) {
            if (!isAddress(part)) {
                return fmt::format("{}\"{}\" is not ip:port", subject, part);
            }
        }
        return "";
    }
    case setting_kind::integer: {
        char *end = nullptr;
        const long number = std::strtol(value.c_str(), &end, 10);
        if (*end != '\0') {
            return fmt::format("{}\"{}\" is not an integer", subject, value);
        }
        const bool limited = definition.maximum != 0;
        const bool inside = !limited || (number >= definition.minimum && number <= definition.maximum);
        return inside ? "" : fmt::format("{}{} is outside {} to {}", subject, value, definition.minimum, definition.maximum);
    }
    case setting_kind::flag:
        return value == "true" || value == "false" ? "" : fmt::format("{}\"{}\" is not true or false", subject, value);
    case setting_kind::file:
        return access(value.c_str(), R_OK) == 0 ? "" : fmt::format("{}can't read \"{}\"", subject, value);
    }
    return "";
}

outcome<setting_values> settings_table::parse(int argc, char **argv, char **environment) const
{
    setting_values values;
    std::string problems;
    const auto addProblem = [&problems](const std::string &problem) {
        if (!problem.empty()) {
            problems += (problems.empty() ? "" : "\n") + problem;
        }
    };
    for (const setting_definition &definition : m_definitions) {
        values.set(definition.name, definition.defaultValue);
    }
    for (char **entry = environment; entry != nullptr && *entry != nullptr; ++entry) {
        const std::string_view text(*entry);
        const std::size_t equals = text.find('=');
        if (!text.starts_with(ENVIRONMENT_PREFIX) || equals == std::string_view::npos) {
            continue;
        }
        const std::string name(text.substr(0, equals));
        const auto found = std::find_if(
            m_definitions.begin(), m_definitions.end(), [&](const setting_definition &definition) { return environmentName(definition.name) == name; });
        // Unknown variables are ignored, because the project's other programs and its scripts use the same prefix.
        if (found == m_definitions.end()) {
            continue;
        }
        const std::string value(text.substr(equals + 1));
        values.set(found->name, found->kind == setting_kind::flag ? normalizedFlag(value) : value);
    }
    std::vector<option> options;
    for (const setting_definition &definition : m_definitions) {
        options.push_back({definition.name.c_str(), definition.kind == setting_kind::flag ? no_argument : required_argument, nullptr, 0});
    }
    options.push_back({nullptr, 0, nullptr, 0});
    optind = 0;
    opterr = 0;
    for (;;) {
        int index = -1;
        const int code = getopt_long(argc, argv, "+:", options.data(), &index);
        if (code == -1) {
            break;
        }
        if (code == 0) {
            const setting_definition &definition = m_definitions[static_cast<std::size_t>(index)];
            values.set(definition.name, definition.kind == setting_kind::flag ? "true" : optarg);
            continue;
        }
        const std::string given = argv[optind - 1];
        if (code == ':') {
            addProblem(given + ": needs a value");
            continue;
        }
        const std::size_t start = given.find_first_not_of('-');
        const std::string bare = given.substr(std::min(start, given.size()), given.find('=') - start);
        const auto nearest = nearestName(bare, settingNames());
        addProblem(given + ": unknown setting" + (nearest ? "; did you mean --" + *nearest + "?" : ""));
    }
    for (int i = optind; i < argc; ++i) {
        values.arguments.emplace_back(argv[i]);
    }
    if (!values.flag("help")) {
        for (const setting_definition &definition : m_definitions) {
            addProblem(validationError(definition, values.text(definition.name)));
        }
    }
    if (!problems.empty()) {
        return failure{error_code::invalid_argument, problems};
    }
    return values;
}

std::string settings_table::help() const
{
    std::string text =
        fmt::format("Usage: {} [settings]\n\nEach setting can also be given in the environment as SNIPEFALL_NAME; the command line wins.\n\n", m_program);
    for (const setting_definition &definition : m_definitions) {
        const std::string flag = "--" + definition.name + (definition.kind == setting_kind::flag ? "" : " VALUE");
        text += fmt::format("  {:<32} {}", flag, definition.help);
        if (definition.required) {
            text += " Required.";
        } else if (!definition.defaultValue.empty() && definition.kind != setting_kind::flag) {
            text += fmt::format(" Default {}.", definition.defaultValue);
        }
        text += '\n';
    }
    return text;
}

std::string settings_table::referencePage() const
{
    std::string text = "| Flag | Environment | Default | Meaning |\n| --- | --- | --- | --- |\n";
    for (const setting_definition &definition : m_definitions) {
        text += fmt::format("| `--{}` | `{}` | {} | {} |\n",
                            definition.name,
                            environmentName(definition.name),
                            definition.required                   ? "required"
                                : definition.defaultValue.empty() ? ""
                                                                  : "`" + definition.defaultValue + "`",
                            definition.help);
    }
    return text;
}

} // namespace snipefall
