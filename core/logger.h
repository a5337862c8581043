#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "core/log_level.h"

namespace snipefall {

/** A key and its value in a log line. */
using log_field = std::pair<std::string_view, std::string>;

/** Sets the minimum severity of lines that are written; the default is info. */
void setLogLevel(log_level level);

/** Sets the file descriptor that lines are written to; the default is standard output. */
void setLogDescriptor(int descriptor);

/**
 * Writes one structured line to the log descriptor: time, level, event and fields as key=value.
 *
 * Each event is rate-limited to 20 lines per second; the next line of the event carries the number of suppressed lines. A line that can't be written without
 * blocking is dropped, and the next line of any event carries the number of dropped lines. Lines are truncated to 4,096 bytes.
 */
void writeLog(log_level level, std::string_view event, std::initializer_list<log_field> fields);

inline void logDebug(std::string_view event, std::initializer_list<log_field> fields = {})
{
    writeLog(log_level::debug, event, fields);
}

inline void logInfo(std::string_view event, std::initializer_list<log_field> fields = {})
{
    writeLog(log_level::info, event, fields);
}

inline void logWarning(std::string_view event, std::initializer_list<log_field> fields = {})
{
    writeLog(log_level::warning, event, fields);
}

inline void logError(std::string_view event, std::initializer_list<log_field> fields = {})
{
    writeLog(log_level::error, event, fields);
}

} // namespace snipefall
