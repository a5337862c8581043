#pragma once

#include <fstream>
#include <getopt.h>
#include <string>

#include <fmt/core.h>

#include "core/json.h"

namespace snipefall {

/**
 * Runs a benchmark whose only option is --json FILE, and writes what @p measure returns to the file.
 *
 * Returns the exit code: 2 for an unknown option, 1 if the file can't be written.
 */
template <typename Measure>
int runWithJsonOption(int argc, char **argv, const char *program, Measure measure)
{
    const option options[] = {{"json", required_argument, nullptr, 'j'}, {nullptr, 0, nullptr, 0}};
    std::string path;
    for (int found = 0; (found = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (found != 'j') {
            fmt::print(stderr, "usage: {} [--json FILE]\n", program);
            return 2;
        }
        path = optarg;
    }
    const json document = measure();
    if (!path.empty() && !(std::ofstream(path) << document.dump(2) << '\n')) {
        fmt::print(stderr, "can't write {}\n", path);
        return 1;
    }
    return 0;
}

} // namespace snipefall
