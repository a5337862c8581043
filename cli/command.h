#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cli/exit_code.h"
#include "core/setting_definition.h"

namespace snipefall {

struct command_context;

/** One command of the command line. */
struct command
{
    std::string name; ///< One or two words, for example "config show".
    std::string arguments; ///< For the usage line, for example "SERVICE".
    std::size_t argumentCount = 0;
    std::string summary; ///< One sentence.
    std::string example;
    std::vector<setting_definition> settings; ///< Besides the common ones.
    std::function<exit_code(const command_context &)> run;
    std::vector<std::string> outputs = {"table", "json"}; ///< Allowed forms of the output; "table" stands for the first one.
};

} // namespace snipefall
