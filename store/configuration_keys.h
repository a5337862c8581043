#pragma once

#include <string>

#include "core/configuration_patch.h"
#include "core/outcome.h"
#include "store/object.h"

namespace snipefall {

inline constexpr const char *CONFIGURATION_SNAPSHOT_KEY = "config/snapshot";
inline constexpr const char *CONFIGURATION_LOG_PREFIX = "config/log/";

/** config/log/<n> with 12 digits, so that keys sort by version. */
std::string configurationLogKey(config_version version);
/** The key prefix of the block of 100 log entries that contains @p version: the key without its last two digits. */
std::string configurationLogBlockPrefix(config_version version);
/** Parses a log entry; fails with internal if it is not a patch or its version does not match its key. */
outcome<configuration_patch> parseConfigurationLogEntry(const object &entry);

} // namespace snipefall
