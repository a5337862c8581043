#pragma once

#include <string>
#include <vector>

#include "cli/command.h"

namespace snipefall {

/** Table of all commands. Help texts, shell completion, manual page and reference page are generated from it. */
class command_table
{
public:
    explicit command_table(std::vector<command> commands);

    /** Finds the command that the arguments name, validates its settings and runs it. */
    exit_code run(int argc, char **argv, char **environment) const;

    std::string help() const;
    std::string helpOf(const command &entry) const;
    /** Returns the manual page in troff format. */
    std::string manual() const;
    /** Returns the completion script for bash. */
    std::string completion() const;
    /** Returns the reference page in Markdown. */
    std::string referencePage() const;

private:
    const command *find(const std::vector<std::string> &words) const;
    exit_code runCommand(const command &entry, std::vector<char *> arguments, char **environment) const;

    std::vector<command> m_commands;
};

} // namespace snipefall
