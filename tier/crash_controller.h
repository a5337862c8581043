#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/fact.h"
#include "policy/request_quarantine.h"

namespace snipefall {

class async_http_client;
struct client_result;
struct request_suspicion;
struct tier_blackboard;

/**
 * Finds the requests that crash backend servers, by its own health checks and by facts from peers, and decides which ones are refused.
 *
 * A request that got no answer and whose sub-requests were lost becomes suspected if a health check finds one of these servers crashed. Each such request of a
 * caller counts one crash, and two crashes quarantine its fingerprint; see request_quarantine.
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

    crash_controller(async_http_client &client, tier_blackboard &board);

    /** Sets the function that publishes a fact to the peers. */
    void setFactPublisher(std::function<void(fact)> publish) { m_publish = std::move(publish); }

    bool refuses(request_fingerprint request) const { return m_quarantine.crashStatus(request) == request_crash_status::quarantined; }
    /** Notes that a server answered the request, which proves that the request doesn't crash servers; lifts a suspicion or quarantine. */
    void answered(request_fingerprint request);
    /** Notes that the request ended without an answer from any server, and starts health checks of @p servers, on which its sub-requests were lost. */
    void unanswered(request_fingerprint request, const request_id &id, const std::vector<lost_server> &servers);
    /** Applies a peer's fact that a request is suspected or cleared. */
    void applyPeerFact(const fact &peerFact);
    void tick(time_point now) { m_quarantine.tick(now); }
    std::size_t refusedRequests() const { return m_quarantine.quarantinedCount(); }

private:
    struct crash_search;

    void handleCheckResult(crash_search &search, const lost_server &server, const client_result &result);
    void publish(const request_suspicion &suspicion);

    async_http_client &m_client;
    tier_blackboard &m_board;
    request_quarantine m_quarantine;
    std::function<void(fact)> m_publish;
    std::size_t m_runningChecks = 0; ///< Health checks without a result so far.
};

} // namespace snipefall
