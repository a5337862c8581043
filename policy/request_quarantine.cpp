#include "policy/request_quarantine.h"

#include <algorithm>

#include "policy/crash_trial.h"

namespace snipefall {

namespace {

constexpr std::size_t CRASHES_FOR_QUARANTINE = 2;

}

request_crash_status request_quarantine::crashStatus(request_fingerprint request) const
{
    const auto found = m_suspicions.find(request);
    if (found != m_suspicions.end()) {
        return found->second.crashes.size() >= CRASHES_FOR_QUARANTINE ? request_crash_status::quarantined : request_crash_status::suspected;
    }
    return m_knownSafe.count(request) > 0 ? request_crash_status::known_safe : request_crash_status::unknown;
}

void request_quarantine::started(request_fingerprint request, const backend_server_id &server)
{
    ++m_inFlight[server][request];
}

bool request_quarantine::ended(request_fingerprint request, const backend_server_id &server, bool succeeded)
{
    const auto onServer = m_inFlight.find(server);
    if (onServer != m_inFlight.end()) {
        const auto running = onServer->second.find(request);
        if (running != onServer->second.end() && --running->second == 0) {
            onServer->second.erase(running);
        }
    }
    if (!succeeded) {
        return false;
    }
    markKnownSafe(request);
    return m_suspicions.erase(request) > 0;
}

std::vector<request_fingerprint> request_quarantine::crashed(const crash_event &event, time_point now)
{
    std::vector<request_fingerprint> suspects;
    const auto onServer = m_inFlight.find(event.server);
    if (onServer == m_inFlight.end()) {
        return suspects;
    }
    for (const auto &[request, count] : onServer->second) {
        if (m_knownSafe.count(request) > 0) {
            continue;
        }
        suspect(request, event, now);
        suspects.push_back(request);
    }
    m_inFlight.erase(onServer);
    return suspects;
}

void request_quarantine::suspect(request_fingerprint request, const crash_event &event, time_point now)
{
    if (m_knownSafe.count(request) > 0) {
        return;
    }
    suspicion &entry = m_suspicions[request];
    entry.crashes.insert(event);
    entry.lastCrash = now;
    entry.nextTrial = std::max(entry.nextTrial, now + CRASH_TRIAL_PAUSE);
}

void request_quarantine::clear(request_fingerprint request)
{
    markKnownSafe(request);
    m_suspicions.erase(request);
}

time_point request_quarantine::nextTrialAt(request_fingerprint request) const
{
    const auto found = m_suspicions.find(request);
    return found != m_suspicions.end() ? found->second.nextTrial : time_point();
}

void request_quarantine::postponeTrial(request_fingerprint request, time_point at)
{
    const auto found = m_suspicions.find(request);
    if (found != m_suspicions.end()) {
        found->second.nextTrial = std::max(found->second.nextTrial, at);
    }
}

void request_quarantine::tick(time_point now)
{
    std::erase_if(m_suspicions, [now](const auto &entry) { return now - entry.second.lastCrash > RETENTION; });
}

std::size_t request_quarantine::quarantinedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_suspicions.begin(), m_suspicions.end(), [](const auto &entry) { return entry.second.crashes.size() >= CRASHES_FOR_QUARANTINE; }));
}

void request_quarantine::markKnownSafe(request_fingerprint request)
{
    if (!m_knownSafe.insert(request).second) {
        return;
    }
    m_knownSafeOrder.push_back(request);
    if (m_knownSafeOrder.size() > m_maxKnownSafe) {
        m_knownSafe.erase(m_knownSafeOrder.front());
        m_knownSafeOrder.pop_front();
    }
}

} // namespace snipefall
