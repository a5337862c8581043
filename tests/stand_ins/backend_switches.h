#pragma once

#include <string>

#include "core/json.h"

namespace snipefall {

/** The faults of a stand-in backend server, as set by PUT /control. */
struct backend_switches
{
    double straggleProbability = 0; ///< 0 to 1.
    long straggleMs = 0;
    std::string crashOn; ///< A request that contains this text ends the process; empty is off.
    bool freeze = false; ///< Requests are accepted and never answered.
    std::string badMode = "off"; ///< off, now, after_ms, route or load.
    long badAfterMs = 0; ///< Delay of mode after_ms, counted from the switch.
    std::string badRoute; ///< The path of mode route.
    unsigned badLoad = 0; ///< Mode load: bad while at least this many requests run.
    double badErrorRate = 0; ///< 0 to 1; the share of requests answered with 500.
    long badExtraMs = 0;
    bool drain = false;
    double shedRate = 0; ///< 0 to 1; the share of requests shed without need.
    double crossedAnswers = 0; ///< 0 to 1; the share of shard answers that carry another sub-request's id.
    long loseExecuteAnswers = 0; ///< The next runs take effect, but the connection closes without a response.
    std::string health = "healthy"; ///< What GET /health says, whatever the truth.
    bool misleadingHealth = false; ///< GET /status always says "serving" and no load.

    /** Applies @p switches; on an error nothing changes and the reason is returned. Keys this struct does not own are ignored. */
    std::string apply(const json &switches);
    json toJson() const;
};

} // namespace snipefall
