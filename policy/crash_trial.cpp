#include "policy/crash_trial.h"

#include <algorithm>

#include "policy/request_quarantine.h"

namespace snipefall {

crash_trial_decision decideCrashTrial(const std::optional<crash_trial_record> &record, std::uint64_t nowMs)
{
    const duration age = std::chrono::milliseconds(record && nowMs > record->lastMs ? nowMs - record->lastMs : 0);
    const bool outdated = !record || age > request_quarantine::RETENTION;
    const unsigned trials = outdated ? 0 : record->trials;
    const duration interval = trials < MAX_CRASH_TRIALS ? CRASH_TRIAL_INTERVAL : request_quarantine::RETENTION;
    if (trials > 0 && age < interval) {
        // The wait grows with the age, so that a node learns soon that a running trial was given back, and reads the record rarely afterwards.
        return {std::nullopt, std::min(std::max(age, CRASH_TRIAL_PAUSE), interval - age)};
    }
    if (trials >= MAX_CRASH_TRIALS) {
        return {std::nullopt, CRASH_TRIAL_INTERVAL};
    }
    return {crash_trial_record{trials + 1, nowMs}, duration::zero()};
}

crash_trial_verdict judgeCrashTrial(const crash_trial_observation &observed)
{
    if (observed.answered) {
        return crash_trial_verdict::harmless;
    }
    if (!observed.mayHaveRun) {
        return crash_trial_verdict::inconclusive;
    }
    if (observed.serverGone) {
        return observed.siblingGone ? crash_trial_verdict::inconclusive : crash_trial_verdict::crashed;
    }
    // A server that lost the connection and answers again may have restarted in between.
    const bool outlived = observed.serverAnswered && !observed.connectionLost;
    return outlived ? crash_trial_verdict::inconclusive : crash_trial_verdict::counted;
}

const char *toString(crash_trial_verdict verdict)
{
    constexpr const char *NAMES[] = {"harmless", "inconclusive", "counted", "crashed"};
    return NAMES[static_cast<int>(verdict)];
}

crash_trial_record withoutLastTrial(const crash_trial_record &record)
{
    return {record.trials > 0 ? record.trials - 1 : 0, record.lastMs};
}

} // namespace snipefall
