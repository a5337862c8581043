#pragma once

#include <vector>

#include "cli/command.h"

namespace snipefall {

/** The commands in the order of the help text. */
std::vector<command> allCommands();

std::vector<command> statusCommands();
std::vector<command> configCommands();
std::vector<command> moveCommands();
std::vector<command> callerCommands();
std::vector<command> reportCommands();

} // namespace snipefall
