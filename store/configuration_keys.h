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
/** The prefix of the 100 log entries around @p version that share all but their last two digits. */
std::string configurationLogBlock(config_version version);
/** The patch in a log entry; an entry that is not a patch of its own key's version gives internal. */
outcome<configuration_patch> parseConfigurationLogEntry(const object &entry);

} // namespace snipefall
