#include "cli/output_writer.h"

#include <algorithm>
#include <cstdio>

#include <fmt/format.h>
#include <unistd.h>

namespace snipefall {

void output_writer::line(const std::string &text)
{
    fmt::print("{}\n", text);
}

void output_writer::document(const json &value)
{
    fmt::print("{}\n", value.dump(2));
}

void output_writer::table(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    const bool bold = isatty(STDOUT_FILENO) == 1;
    for (std::size_t index = 0; index < rows.size(); ++index) {
        std::string text;
        for (std::size_t column = 0; column < rows[index].size(); ++column) {
            const bool last = column + 1 == rows[index].size();
            text += last ? rows[index][column] : fmt::format("{:<{}}  ", rows[index][column], widths[column]);
        }
        fmt::print("{}\n", index == 0 && bold ? "\033[1m" + text + "\033[0m" : text);
    }
}

void output_writer::problem(const std::string &text)
{
    fmt::print(stderr, "snipefall: {}\n", text);
}

} // namespace snipefall
