#pragma once

#include <deque>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/clock.h"
#include "policy/crash_event.h"
#include "policy/request_fingerprint.h"

namespace snipefall {

/** Whether requests with a given fingerprint are known or suspected to crash backend servers. */
enum class request_crash_status
{
    unknown, ///< Has not succeeded yet and was in flight at no crash; is sent to a single backend server first.
    known_safe, ///< Has succeeded, so it does not crash servers.
    suspected, ///< Was in flight at one crash.
    quarantined, ///< Was in flight at two crashes; is refused, except in trials.
};

/**
 * Detects requests that crash backend servers ("queries of death") by their fingerprints.
 *
 * A fingerprint that was in flight at two crashes is quarantined. A request that crashes every server on which it runs never succeeds, so a request that has
 * succeeded is cleared, no matter at how many crashes it was in flight. The crashes may have had another cause, for example the loss of a whole service, so a
 * quarantined request may succeed in a trial; see crash_trial_record. Not thread-safe.
 */
class request_quarantine
{
public:
    /** How long a suspicion or quarantine lasts after the last crash. */
    static constexpr duration RETENTION = std::chrono::hours(6);
    /** Default for the number of remembered fingerprints that have succeeded; with 8 bytes each and the overhead of the table, they take about 4 MB. */
    static constexpr std::size_t MAX_KNOWN_SAFE = 65536;

    explicit request_quarantine(std::size_t maxKnownSafe = MAX_KNOWN_SAFE)
        : m_maxKnownSafe(maxKnownSafe)
    {
    }

    /** The state of requests with this fingerprint. */
    request_crash_status crashStatus(request_fingerprint request) const;

    /** Records that a sub-request was sent to @p server. */
    void started(request_fingerprint request, const backend_server_id &server);
    /** Records that a sub-request ended other than by a crash. Success clears the fingerprint; returns true if it was suspected or quarantined before. */
    bool ended(request_fingerprint request, const backend_server_id &server, bool succeeded);

    /** Records the crash of a server. Returns the fingerprints that were in flight on it and are now suspected or quarantined. */
    std::vector<request_fingerprint> crashed(const crash_event &event, time_point now);

    /** Records that the fingerprint was in flight at a crash; also used for reports of peers. Counts each crash once. */
    void suspect(request_fingerprint request, const crash_event &event, time_point now);
    /** Clears a fingerprint because a peer reported that it has succeeded. */
    void clear(request_fingerprint request);

    /** The earliest time of the next trial of a quarantined request. */
    time_point nextTrialAt(request_fingerprint request) const;
    /** Delays the next trial of a quarantined request until @p at. */
    void postponeTrial(request_fingerprint request, time_point at);

    /** Drops the suspicions and quarantines whose last crash is older than RETENTION. */
    void tick(time_point now);

    /** The number of quarantined fingerprints. */
    std::size_t quarantinedCount() const;

private:
    struct suspicion
    {
        std::set<crash_event> crashes;
        time_point lastCrash;
        time_point nextTrial;
    };

    void markKnownSafe(request_fingerprint request);

    std::size_t m_maxKnownSafe;
    std::unordered_map<backend_server_id, std::unordered_map<request_fingerprint, unsigned>> m_inFlight; ///< Number of sub-requests.
    std::unordered_map<request_fingerprint, suspicion> m_suspicions;
    std::unordered_set<request_fingerprint> m_knownSafe;
    std::deque<request_fingerprint> m_knownSafeOrder; ///< In order of insertion, for eviction; oldest first.
};

} // namespace snipefall
