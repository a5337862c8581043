#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "core/log_level.h"

namespace snipefall {

/** A key and its value in a log line. */
using log_field = std::pair<std::string_view, std::string>;

/** Sets the lowest level that is written; the default is info. */
void setLogLevel(log_level level);

/** Sets where lines are written; the default is standard output. */
void setLogDescriptor(int descriptor);

/**
 * Writes one structured line to standard output: time, level, event and fields as key=value.
 *
 * At most 20 lines a second are written for one event; the number of suppressed lines is added to the next one. A line that can't be written without blocking
 * is dropped, and the number of dropped lines is added to the next one. Lines are cut at 4,096 bytes.
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
