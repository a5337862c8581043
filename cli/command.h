#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cli/exit_code.h"
#include "core/setting_definition.h"

namespace snipefall {

struct command_context;

/** Definition of one command of the snipefall program. */
struct command
{
    std::string name; ///< One or two words, for example "config show".
    std::string arguments; ///< Positional arguments as shown in the usage line, for example "SERVICE".
    std::size_t argumentCount = 0;
    std::string summary; ///< One sentence for the help text.
    std::string example;
    std::vector<setting_definition> settings; ///< Settings of this command in addition to the common ones.
    std::function<exit_code(const command_context &)> run;
    std::vector<std::string> outputFormats = {"table", "json"}; ///< Allowed values of --output. "table", the default, selects the first one.
};

} // namespace snipefall
