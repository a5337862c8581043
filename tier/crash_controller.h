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
 * Finds the requests that crash backend servers, together with the peers, and says which ones are refused.
 *
 * A request that got no answer and whose sub-requests were lost is suspected if a health check finds one of the servers gone. Each such request of a caller
 * counts one crash, and two of them are enough; see request_quarantine.
 */
class crash_controller
{
public:
    /** A server on which a sub-request ended without an answer. */
    struct lost_server
    {
        backend_server_id id;
        std::string address; ///< "ip:port"
        std::string healthPath;
    };

    crash_controller(async_http_client &client, tier_blackboard &board);

    /** Called with what the peers have to know. */
    void onNews(std::function<void(fact)> publish) { m_publish = std::move(publish); }

    bool refuses(request_fingerprint request) const { return m_quarantine.standing(request) == request_standing::quarantined; }
    /** A server answered the request, so that it doesn't crash servers. */
    void answered(request_fingerprint request);
    /** The request ended without an answer of any server. */
    void unanswered(request_fingerprint request, const request_id &id, const std::vector<lost_server> &servers);
    /** Takes over what a peer found. */
    void learn(const fact &news);
    void tick(time_point now) { m_quarantine.tick(now); }
    std::size_t refusedRequests() const { return m_quarantine.quarantinedCount(); }

private:
    struct crash_search;

    void checked(crash_search &search, const lost_server &server, const client_result &result);
    void publish(const request_suspicion &suspicion);

    async_http_client &m_client;
    tier_blackboard &m_board;
    request_quarantine m_quarantine;
    std::function<void(fact)> m_publish;
    std::size_t m_checks = 0; ///< Health checks that are under way.
};

} // namespace snipefall
