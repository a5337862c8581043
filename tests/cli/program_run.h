#pragma once

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include <unistd.h>

#include "tests/stand_ins/child_process.h"

namespace snipefall {

/** Runs a program from the build folder to its end and captures its exit code and output. */
struct program_run
{
    program_run(const std::string &program, const std::vector<std::string> &arguments)
    {
        const std::filesystem::path log = std::filesystem::temp_directory_path() / ("snipefall-run-" + std::to_string(getpid()));
        std::filesystem::remove(log);
        child_process process(program, arguments, log.string());
        exitCode = process.wait();
        std::ifstream file(log);
        output.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
        std::filesystem::remove(log);
    }

    bool contains(const std::string &text) const { return output.find(text) != std::string::npos; }

    int exitCode = -1;
    std::string output; ///< Combined standard output and standard error.
};

} // namespace snipefall
