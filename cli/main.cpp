#include <csignal>

#include "cli/command_table.h"
#include "cli/commands.h"

extern char **environ;

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const snipefall::command_table table(snipefall::allCommands());
    return static_cast<int>(table.run(argc, argv, environ));
}
