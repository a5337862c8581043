#pragma once

#include <optional>
#include <string_view>

namespace snipefall {

/** Severity of a log line. */
enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/** Parses "debug", "info", "warning" or "error". */
std::optional<log_level> parseLogLevel(std::string_view text);

std::string_view toString(log_level level);

} // namespace snipefall
