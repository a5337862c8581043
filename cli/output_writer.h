#pragma once

#include <string>
#include <vector>

#include "core/json.h"

namespace snipefall {

/** Writes a command's result to standard output. */
class output_writer
{
public:
    static void line(const std::string &text);
    static void document(const json &value);
    /** Aligned columns; the first row is the heading. */
    static void table(const std::vector<std::vector<std::string>> &rows);
    /** One line to standard error. */
    static void problem(const std::string &text);
};

} // namespace snipefall
