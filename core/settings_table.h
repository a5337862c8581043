#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/outcome.h"
#include "core/setting_definition.h"
#include "core/setting_values.h"

namespace snipefall {

/** The settings of a program: parses and validates their values, and generates the help text and the reference page. */
class settings_table
{
public:
    settings_table(std::string program, std::vector<setting_definition> definitions);

    /**
     * Takes values from the defaults, the environment and the command line, in order of increasing precedence.
     *
     * Fails with invalid_argument if any value is invalid; the message lists every problem, one per line.
     */
    outcome<setting_values> parse(int argc, char **argv, char **environment) const;

    /** The text of --help. */
    std::string help() const;
    /** The reference page of the settings as a Markdown table. */
    std::string referencePage() const;

    static std::string environmentName(std::string_view settingName);

private:
    /** The problem with the value as a message, or an empty string if the value is valid. */
    std::string validationError(const setting_definition &definition, const std::string &value) const;
    std::vector<std::string> settingNames() const;

    std::string m_program;
    std::vector<setting_definition> m_definitions;
};

} // namespace snipefall
