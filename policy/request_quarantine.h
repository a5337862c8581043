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

/** What is known of a request by its fingerprint. */
enum class request_standing
{
    unknown, ///< Never ran here; goes to one backend server first.
    proven, ///< Ran without a crash.
    suspected, ///< In flight at one crash.
    quarantined, ///< In flight at two crashes; refused.
};

/**
 * Finds the requests that crash backend servers.
 *
 * A fingerprint in flight at two crashes is quarantined. A request that crashes each server that runs it never succeeds, so one that succeeded
 * is innocent however many crashes it was near. Not thread-safe.
 */
class request_quarantine
{
public:
    /** How long a suspicion or quarantine lasts without a new crash. */
    static constexpr duration RETENTION = std::chrono::hours(6);
    /** Fingerprints remembered as proven unless stated otherwise; 8 bytes each and the table's overhead, about 4 MB. */
    static constexpr std::size_t MAX_PROVEN = 65536;

    explicit request_quarantine(std::size_t maxProven = MAX_PROVEN)
        : m_maxProven(maxProven)
    {
    }

    request_standing standing(request_fingerprint request) const;

    /** A sub-request was sent to a server. */
    void started(request_fingerprint request, const backend_server_id &server);
    /** A sub-request ended other than by a crash. @p succeeded clears the fingerprint; true is returned if it was suspected or quarantined. */
    bool ended(request_fingerprint request, const backend_server_id &server, bool succeeded);

    /** A server crashed. Returns the fingerprints that were in flight on it and are now suspected or quarantined. */
    std::vector<request_fingerprint> crashed(const crash_event &event, time_point now);

    /** Takes a peer's suspicion over; repeats change nothing. */
    void suspect(request_fingerprint request, const crash_event &event, time_point now);
    /** Takes a peer's proof over that a fingerprint is innocent. */
    void clear(request_fingerprint request);

    /** Forgets suspicions past their retention. */
    void tick(time_point now);

    std::size_t quarantinedCount() const;

private:
    struct suspicion
    {
        std::set<crash_event> crashes;
        time_point lastCrash;
    };

    void remember(request_fingerprint request);

    std::size_t m_maxProven;
    std::unordered_map<backend_server_id, std::unordered_map<request_fingerprint, unsigned>> m_inFlight;
    std::unordered_map<request_fingerprint, suspicion> m_suspicions;
    std::unordered_set<request_fingerprint> m_proven;
    std::deque<request_fingerprint> m_provenOrder; ///< Oldest first.
};

} // namespace snipefall
