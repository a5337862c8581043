#pragma once

#include <string>

#include "core/clock.h"

namespace snipefall {

class setting_values;
class settings_table;

/** The settings of snipefalld on a platform that hands each process a settings file; addresses and bounds come from that file. */
struct tier_settings
{
    std::string bootFile;
    unsigned short metricsPort = 0; ///< 0 serves no metrics.
    duration callerPath{}; ///< Time that an answer may spend on its way to the caller, with the caller's way here.
    duration directoryTime{}; ///< How long callers keep an answer of the directory.
    std::size_t maxRequests = 0; ///< Requests of callers that run at the same time.

    /** The table that describes these settings. */
    static const settings_table &table();
    static tier_settings fromValues(const setting_values &values);
};

} // namespace snipefall
