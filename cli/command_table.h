#pragma once

#include <string>
#include <vector>

#include "cli/command.h"

namespace snipefall {

/** All commands of the command line; help, completion and manual are made from it. */
class command_table
{
public:
    explicit command_table(std::vector<command> commands);

    /** Finds the command, checks its settings and runs it. */
    exit_code run(int argc, char **argv, char **environment) const;

    std::string help() const;
    std::string helpOf(const command &entry) const;
    /** A manual page in troff. */
    std::string manual() const;
    /** A completion script for bash. */
    std::string completion() const;
    /** The reference page in Markdown. */
    std::string referencePage() const;

private:
    const command *find(const std::vector<std::string> &words) const;
    exit_code runCommand(const command &entry, std::vector<char *> arguments, char **environment) const;

    std::vector<command> m_commands;
};

} // namespace snipefall
