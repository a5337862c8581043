#include "cli/commands.h"

namespace snipefall {

std::vector<command> allCommands()
{
    std::vector<command> commands;
    for (const auto &group : {statusCommands(), configCommands(), moveCommands(), callerCommands(), reportCommands()}) {
        commands.insert(commands.end(), group.begin(), group.end());
    }
    return commands;
}

} // namespace snipefall
