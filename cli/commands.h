#pragma once

#include <vector>

#include "cli/command.h"

namespace snipefall {

/** Returns all commands in the order in which the help text lists them. */
std::vector<command> allCommands();

std::vector<command> statusCommands();
std::vector<command> configCommands();
std::vector<command> moveCommands();
std::vector<command> callerCommands();
std::vector<command> reportCommands();

} // namespace snipefall
