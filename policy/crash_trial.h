#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace snipefall {

/**
 * The trials of one quarantined request, by all nodes together.
 *
 * A trial lets a single quarantined request run on one server, to find out whether the crashes before had another cause. The platform's store keeps the record,
 * so that the number of trials is bounded for all nodes, even if they restart or can't reach each other.
 */
struct crash_trial_record
{
    unsigned trials = 0;
    std::uint64_t lastMs = 0; ///< Unix time in ms at which the last trial began.
};

/** Whether a node may run a trial now. */
struct crash_trial_decision
{
    std::optional<crash_trial_record> record; ///< The record to write before the trial; nothing if no trial is allowed.
    duration wait{0}; ///< Time after which to ask again, if no trial is allowed.
};

/** Trials of one request within request_quarantine::RETENTION. */
constexpr unsigned MAX_CRASH_TRIALS = 2;
/** The first trial begins this long after the last crash, because servers need time to start again. */
constexpr duration CRASH_TRIAL_PAUSE = std::chrono::seconds(5);
/** Time between the beginnings of two trials. */
constexpr duration CRASH_TRIAL_INTERVAL = std::chrono::seconds(60);

/** What is known after the end of a trial. */
struct crash_trial_observation
{
    bool answered = false; ///< A server ran the request and sent an answer, which may be an error.
    bool mayHaveRun = false; ///< A server may have begun to run the request.
    bool connectionLost = false; ///< The connection to that server ended without an answer.
    bool serverGone = false; ///< A health check found that the server no longer runs.
    bool serverAnswered = false; ///< The server answered a health check.
    bool siblingGone = false; ///< Another server of the service, which worked when the trial began and didn't get the request, no longer runs either.
};

enum class crash_trial_verdict
{
    harmless, ///< The request ran without a crash.
    inconclusive, ///< It didn't run, still ran when it was given up, or its server was lost together with another one; the trial may be repeated.
    counted, ///< The request may have crashed the server.
    crashed, ///< The server that ran the request is gone.
};

crash_trial_verdict judgeCrashTrial(const crash_trial_observation &observed);
const char *toString(crash_trial_verdict verdict);

/** Decides on the next trial by the @p record of the earlier ones, at the Unix time @p nowMs. */
crash_trial_decision decideCrashTrial(const std::optional<crash_trial_record> &record, std::uint64_t nowMs);

/** The record after a trial that proved nothing and may be repeated. */
crash_trial_record withoutLastTrial(const crash_trial_record &record);

} // namespace snipefall
