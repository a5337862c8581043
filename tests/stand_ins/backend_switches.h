#pragma once

#include <string>

#include "core/json.h"

namespace snipefall {

/** Faults that a fake backend server injects, as set by PUT /control. */
struct backend_switches
{
    double straggleProbability = 0; ///< Probability, 0 to 1, that a request takes straggleMs longer.
    long straggleMs = 0;
    std::string crashOn; ///< A query or execute request whose body contains this text crashes the process; empty disables it.
    bool freeze = false; ///< Requests except those to /control are accepted but not answered; their connections close when the freeze ends.
    std::string badMode = "off"; ///< When the bad-version fault (badErrorRate, badExtraMs) applies: off, now, after_ms, route or load.
    long badAfterMs = 0; ///< Mode after_ms: the fault starts this long after the switch was set.
    std::string badRoute; ///< Mode route: the fault applies to requests with this path.
    unsigned badLoad = 0; ///< Mode load: the fault applies while at least this many requests run.
    double badErrorRate = 0; ///< Probability, 0 to 1, that a request is answered with status 500 while the fault applies.
    long badExtraMs = 0;
    bool drain = false;
    double shedRate = 0; ///< Probability, 0 to 1, that a request is shed even if a slot is free.
    double wrongSubIdRate = 0; ///< Probability, 0 to 1, that a shard response carries the id of another sub-request.
    long executeResponsesToLose = 0; ///< Number of next execute requests that run but whose connection closes without a response.
    std::string health = "healthy"; ///< State that GET /health reports, regardless of the actual state.
    bool falseServingStatus = false; ///< GET /status always reports "serving" and no load.

    /**
     * Applies @p switches. Returns an empty string, or the reason why they were rejected, in which case nothing changes.
     * Keys that the server handles itself (such as silent, cold and add_snapshot) are accepted and ignored; other unknown keys are rejected.
     */
    std::string apply(const json &switches);
    json toJson() const;
};

} // namespace snipefall
