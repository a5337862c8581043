#pragma once

#include <string>
#include <vector>

#include "core/json.h"

namespace snipefall {

/** Prints the result of a command to standard output, and errors to standard error. */
class output_writer
{
public:
    static void line(const std::string &text);
    static void document(const json &value);
    /** Prints rows in aligned columns. The first row is the heading. */
    static void table(const std::vector<std::vector<std::string>> &rows);
    /** Prints one line to standard error. */
    static void problem(const std::string &text);
};

} // namespace snipefall
