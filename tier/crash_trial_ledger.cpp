#include "tier/crash_trial_ledger.h"

#include <fmt/format.h>

#include "core/logger.h"
#include "platform/store_client.h"
#include "platform/wire_names.h"
#include "tier/loop_clock.h"

namespace snipefall {

namespace {

/** Pause before the store is asked again after a call that failed or lost against another node's. */
constexpr duration RETRY_PAUSE = std::chrono::seconds(2);

std::string objectName(request_fingerprint request)
{
    return fmt::format("{:016x}", request.value());
}

json encode(const crash_trial_record &record)
{
    return {{"trials", record.trials}, {"last_ms", record.lastMs}};
}

crash_trial_record decode(const json &spec)
{
    return {jsonValue<unsigned>(spec, "trials", 0), jsonValue<std::uint64_t>(spec, "last_ms", 0)};
}

void logFailedWrite(std::string_view action, request_fingerprint request, const failure &reason)
{
    logInfo("crash_trial.write_failed", {{"action", std::string(action)}, {"fingerprint", objectName(request)}, {"reason", reason.message}});
}

} // namespace

void crash_trial_ledger::take(request_fingerprint request, handler onDecided)
{
    m_store.read(wire::CRASH_TRIALS_KIND, objectName(request), [this, request, onDecided = std::move(onDecided)](const outcome<stored_object> &stored) {
        decide(request, stored, onDecided);
    });
}

void crash_trial_ledger::restore(time_point now)
{
    m_restoredAt = now;
    for (const auto &[request, granted] : m_granted) {
        m_store.read(
            wire::CRASH_TRIALS_KIND, objectName(request), [this, request = request](const outcome<stored_object> &stored) { restoreRecord(request, stored); });
    }
}

void crash_trial_ledger::restoreRecord(request_fingerprint request, const outcome<stored_object> &stored)
{
    const auto granted = m_granted.find(request);
    if (granted == m_granted.end()) {
        return;
    }
    const crash_trial_record record = granted->second.record;
    const auto onWritten = [this, request](const outcome<store_position> &written) {
        if (!written) {
            logFailedWrite("restore", request, written.reason());
        } else if (const auto known = m_granted.find(request); known != m_granted.end()) {
            known->second.revision = *written;
        }
    };
    if (stored && decode(stored->spec).trials < record.trials) {
        m_store.replace(wire::CRASH_TRIALS_KIND, objectName(request), encode(record), stored->revision, onWritten);
    } else if (!stored && stored.reason().code == error_code::not_found) {
        m_store.create(wire::CRASH_TRIALS_KIND, objectName(request), encode(record), onWritten);
    }
}

void crash_trial_ledger::decide(request_fingerprint request, const outcome<stored_object> &stored, const handler &onDecided)
{
    if (!stored && stored.reason().code != error_code::not_found) {
        logInfo("crash_trial.not_read", {{"fingerprint", objectName(request)}, {"reason", stored.reason().message}});
        onDecided(RETRY_PAUSE);
        return;
    }
    if (m_restoredAt && now() - *m_restoredAt < CRASH_TRIAL_INTERVAL) {
        onDecided(CRASH_TRIAL_INTERVAL - (now() - *m_restoredAt));
        return;
    }
    const crash_trial_decision decision = decideCrashTrial(stored ? std::optional(decode(stored->spec)) : std::nullopt, wallClockMs());
    if (!decision.record) {
        onDecided(decision.wait);
        return;
    }
    const auto onWritten = [this, request, record = *decision.record, onDecided](const outcome<store_position> &written) {
        if (!written) {
            logFailedWrite("take", request, written.reason());
            onDecided(RETRY_PAUSE);
            return;
        }
        m_granted[request] = {record, *written};
        onDecided(duration::zero());
    };
    if (stored) {
        m_store.replace(wire::CRASH_TRIALS_KIND, objectName(request), encode(*decision.record), stored->revision, onWritten);
        return;
    }
    m_store.create(wire::CRASH_TRIALS_KIND, objectName(request), encode(*decision.record), onWritten);
}

void crash_trial_ledger::giveBack(request_fingerprint request)
{
    const auto granted = m_granted.extract(request);
    if (!granted) {
        return;
    }
    m_store.replace(wire::CRASH_TRIALS_KIND,
                    objectName(request),
                    encode(withoutLastTrial(granted.mapped().record)),
                    granted.mapped().revision,
                    [request](const outcome<store_position> &written) {
                        if (!written) {
                            logFailedWrite("give_back", request, written.reason());
                        }
                    });
}

void crash_trial_ledger::remove(request_fingerprint request)
{
    const auto granted = m_granted.extract(request);
    if (!granted) {
        return;
    }
    m_store.remove(wire::CRASH_TRIALS_KIND, objectName(request), granted.mapped().revision, [request](const outcome<store_position> &removed) {
        if (!removed) {
            logFailedWrite("remove", request, removed.reason());
        }
    });
}

} // namespace snipefall
