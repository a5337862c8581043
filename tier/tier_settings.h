#pragma once

#include <string>

#include "core/clock.h"

namespace snipefall {

class setting_values;
class settings_table;

/** Command-line settings of snipefalld on a platform that gives each process a settings file; addresses and bounds come from that file instead. */
struct tier_settings
{
    std::string bootFile; ///< Path of the platform's settings file.
    unsigned short metricsPort = 0; ///< Port of the metrics server; 0 disables it.
    duration callerRoundTrip{}; ///< Network time of a request and its answer between caller and node, both ways together.
    duration directoryTtl{}; ///< Time to live of directory answers.
    std::size_t connectionMemoryMb = 0; ///< Memory that connections may hold for their peers; 0 derives it from the memory of the machine.
    std::size_t maxRequests = 0; ///< Callers' requests that may run at the same time; more are refused.

    /** The table that describes these settings. */
    static const settings_table &table();
    /** Reads the settings from parsed values of table(). */
    static tier_settings fromValues(const setting_values &values);
};

} // namespace snipefall
