#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/outcome.h"
#include "core/setting_definition.h"
#include "core/setting_values.h"

namespace snipefall {

/** The settings that a program knows: parses them, checks them, and describes them. */
class settings_table
{
public:
    settings_table(std::string program, std::vector<setting_definition> definitions);

    /**
     * Reads defaults, then the environment, then the command line; the later source wins.
     *
     * Reports every problem at once in the message of invalid_argument, one per line.
     */
    outcome<setting_values> parse(int argc, char **argv, char **environment) const;

    /** The text of --help. */
    std::string help() const;
    /** The reference page of the settings as a Markdown table. */
    std::string referencePage() const;

    static std::string environmentName(std::string_view settingName);

private:
    std::string checkValue(const setting_definition &definition, const std::string &value) const;
    std::vector<std::string> names() const;

    std::string m_program;
    std::vector<setting_definition> m_definitions;
};

} // namespace snipefall
