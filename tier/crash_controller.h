#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/crash_trial.h"
#include "policy/fact.h"
#include "policy/request_quarantine.h"
#include "tier/crash_trial_ledger.h"

namespace snipefall {

class async_http_client;
class store_client;
struct client_result;
struct request_suspicion;
struct tier_blackboard;

/**
 * Finds the requests that crash backend servers, by its own health checks and by facts from peers, and decides which ones are refused.
 *
 * A request that got no answer and whose sub-requests were lost becomes suspected if a health check finds one of these servers crashed. Each such request of a
 * caller counts one crash, and two crashes quarantine its fingerprint; see request_quarantine. Trials release a request that was quarantined because its
 * servers crashed for another reason; see crash_trial_record.
 */
class crash_controller
{
public:
    /** A server whose connection was lost before it answered a sub-request. */
    struct lost_server
    {
        backend_server_id id;
        std::string address; ///< "ip:port"
        std::string healthPath;
    };

    /** How a trial ended, as far as its sub-requests show. */
    struct trial_end
    {
        crash_trial_observation observed;
        std::optional<lost_server> server; ///< The server that may have run the request, if it didn't answer.
        std::optional<lost_server> sibling; ///< See crash_trial_observation::siblingGone.
    };

    crash_controller(async_http_client &client, store_client &store, tier_blackboard &board);

    /** Sets the function that publishes a fact to the peers. */
    void setFactPublisher(std::function<void(fact)> publish) { m_publish = std::move(publish); }

    bool refuses(request_fingerprint request) const { return m_quarantine.crashStatus(request) == request_crash_status::quarantined; }
    /** Notes that a server answered the request, which proves that the request doesn't crash servers; lifts a suspicion or quarantine. */
    void answered(request_fingerprint request);
    /** Notes that the request ended without an answer from any server, and starts health checks of @p servers, on which its sub-requests were lost. */
    void unanswered(request_fingerprint request, const request_id &id, const std::vector<lost_server> &servers);
    /** Time until a trial of a quarantined request may be asked for; zero if now. */
    duration trialWait(request_fingerprint request) const;
    /** Asks for a trial of a quarantined request and calls @p onDecided with whether it was granted; a granted one must be ended by endTrial(). */
    void askForTrial(request_fingerprint request, std::function<void(bool)> onDecided);
    /** Judges a granted trial, after health checks if they can decide it. */
    void endTrial(request_fingerprint request, const request_id &id, const trial_end &end);
    /** Applies a peer's fact that a request is suspected or cleared. */
    void applyPeerFact(const fact &peerFact);
    /** Writes the records of trials again after the store came back from an older copy. */
    void restoreTrials(time_point now) { m_trials.restore(now); }
    void tick(time_point now) { m_quarantine.tick(now); }
    std::size_t refusedRequests() const { return m_quarantine.quarantinedCount(); }

private:
    struct crash_search;

    /** Starts a health check and calls @p onChecked with its result and whether the server is gone. */
    void check(const lost_server &server, std::function<void(const client_result &, bool)> onChecked);
    void closeTrial(request_fingerprint request, const request_id &id, const trial_end &end);
    void handleCheckResult(crash_search &search, const lost_server &server, bool crashed);
    void noteCrash(request_fingerprint request, const request_id &id, const backend_server_id &server);
    void publish(const request_suspicion &suspicion);

    async_http_client &m_client;
    tier_blackboard &m_board;
    request_quarantine m_quarantine;
    crash_trial_ledger m_trials;
    std::set<request_fingerprint> m_askedTrials; ///< Requests whose trial was asked for, or runs on this node.
    std::function<void(fact)> m_publish;
    std::size_t m_runningChecks = 0; ///< Health checks without a result so far.
};

} // namespace snipefall
