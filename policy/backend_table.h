#pragma once

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/backend_choice.h"
#include "policy/backend_entry.h"
#include "policy/backend_health.h"
#include "policy/server_run_state.h"
#include "policy/service_rules.h"
#include "policy/version_share.h"

namespace snipefall {

struct server_announcement;

/**
 * The backend servers that are registered in the platform's store, and the load balancer that selects among them.
 *
 * An entry that disappears while the platform's store is unavailable, or shortly after it became available again, may belong to a live server that will be
 * listed again. Such an entry is kept for a short time.
 */
class backend_table
{
public:
    /** Whether choose() may return a suspended server or one that named a rate limit. */
    enum class suspended_server_policy
    {
        avoided, ///< Only if no other server is available.
        excluded, ///< Never.
    };

    /** @p ownDomain is the failure domain of this node; @p seed initialises the random numbers that spread the load. */
    explicit backend_table(failure_domain_id ownDomain, std::uint64_t seed);

    /** Replaces the table by a complete listing of the store. Returns true if a server was added, removed or changed. */
    bool replaceAll(const std::vector<backend_entry> &entries, time_point now);
    /** Adds or updates one entry. Returns false and ignores it if it is older than the known one. */
    bool apply(const backend_entry &entry, time_point now);
    /** Removes an entry that was deleted from the store; it is only marked for expiry while the store is unavailable or has just recovered. */
    void remove(const backend_server_id &id, time_point now);
    /** Records that another server answered at the address of @p id, which gets no requests until a newer report of it or a new address arrives. */
    void noteAddressReused(const backend_server_id &id);
    /**
     * Applies what the server @p id stated in its answer to a request that was sent at @p sentAt; see server_run_state::apply(). It holds for this run of the
     * server, whatever the store reports of the run later. Returns true if it changes which requests the server gets.
     */
    bool noteAnnouncement(const backend_server_id &id, const server_announcement &announced, time_point sentAt, time_point now);
    /** Records that the store could not be reached; meanwhile it may lose the entries of live servers. */
    void noteStoreUnavailable(time_point now);
    /** Records that the store has answered; ends the outage, if there was one. */
    void noteStoreAvailable(time_point now);
    /** Drops the entries that were missing in the store and have not been listed again in time. Returns their ids. */
    std::vector<backend_server_id> expire(time_point now);

    /** Sets the failure domains whose servers get no requests. */
    void setExcludedDomains(std::set<failure_domain_id> domains) { m_excludedDomains = std::move(domains); }
    const std::set<failure_domain_id> &excludedDomains() const { return m_excludedDomains; }
    /** Per second, a cold server gets at most @p warmUpOverrun times the warm-up rate of its service plus @p warmUpSlack requests from all nodes together. */
    void setServiceRules(const std::map<service_id, service_rules> &rules, double warmUpOverrun, double warmUpSlack);
    /** Sets the number of nodes that send requests to the servers; the limits on connections, request rates and warm-up requests are divided among them. */
    void setNodeCount(std::size_t nodes);
    /** Sets the traffic split of the services whose requests are divided between versions. */
    void setVersionShares(std::map<service_id, version_share> shares) { m_versionShares = std::move(shares); }
    const std::map<service_id, version_share> &versionShares() const { return m_versionShares; }

    /**
     * The server of @p service with the lowest expected response time that is not in @p excluded; nothing if there is none.
     *
     * Choosing a cold server counts as a request against its warm-up rate.
     */
    std::optional<backend_choice> choose(
        const service_id &service, const std::vector<backend_server_id> &excluded, suspended_server_policy suspended, duration medianLatency, time_point now);
    /** As choose(), but only among the servers with these @p ids; a suspended one is chosen if no other is available. */
    std::optional<backend_choice> chooseAmong(const service_id &service, const std::vector<backend_server_id> &ids, duration medianLatency, time_point now);
    /** The earliest time, @p now or later, at which a server of the service may get a request, even if it is suspended; time_point::max() if none may. */
    time_point availableAt(const service_id &service, time_point now) const;
    /** As availableAt(), but without the servers whose rate limit is used up: their next requests are left to the callers that were told to come back. */
    time_point waitableAt(const service_id &service, time_point now) const;
    /** As waitableAt(), for one server. */
    time_point serverWaitableAt(const backend_server_id &id, time_point now) const;
    /** As waitableAt(), but without the servers that are suspended as unreachable. */
    time_point reachableAt(const service_id &service, time_point now) const;
    /** The mean time between the requests that this node's share of the capacity of the service's servers allows, by their rate limits or their slots. */
    duration requestInterval(const service_id &service, duration medianLatency) const;
    /** True if the service has a server that may get requests and is not suspended as unreachable, whether or not it is paused or at its rate limit. */
    bool hasReachableServer(const service_id &service, time_point now) const;
    /** True if so many services have no reachable server that this node itself is probably isolated by a network partition. */
    bool seemsIsolated(time_point now) const;

    /** True while the server wants no requests from this node. */
    bool isPaused(const backend_server_id &id, time_point now) const;
    /** The health of a server; null if the server is not in the table. */
    backend_health *health(const backend_server_id &id);
    /** The largest number of connections that this node may open to each server of the service, its share of the server's limit. */
    std::size_t connectionShare(const service_id &service) const;
    /** The entry of a server; null if the server is not in the table. */
    const backend_entry *find(const backend_server_id &id) const;
    /** Another server of the same service that may get requests and isn't suspended; null if there is none. */
    const backend_entry *sibling(const backend_server_id &id, time_point now) const;
    /** True while the server is still warming up after its start. */
    bool isCold(const backend_server_id &id, time_point now) const;
    /** The number of servers of a version that may get requests. */
    std::size_t usableServerCount(const service_id &service, const version_id &version) const;
    std::size_t size() const { return m_servers.size(); }
    /** The number of servers that may get requests, by failure domain. */
    std::map<failure_domain_id, std::size_t> usableServerCountByDomain() const;

private:
    struct server
    {
        backend_entry entry;
        backend_health health;
        std::optional<time_point> expiresAt; ///< Set while the entry is missing in the store: the server is dropped at this time unless it is listed again.
        server_run_state run;
        time_point coldUntil{};
        std::int64_t warmUpSecond = 0; ///< The second to which warmUpRequests applies.
        unsigned warmUpRequests = 0; ///< Requests that this node sent in that second while the server was cold.
    };
    /** The last report of a removed server, to recognize reports that arrive late, and the state of its last run. */
    struct removed_server
    {
        backend_entry entry;
        server_run_state run;
        time_point removedAt{};
    };

    /** Restricts the candidates to the target version of a traffic split, or to all other versions. */
    struct version_filter
    {
        const version_id *target = nullptr; ///< Null: servers of all versions.
        bool wantsTarget = false; ///< True for servers of the target version, false for those of other versions.
    };
    struct candidates
    {
        server *best = nullptr; ///< The server with the lowest cost that is not suspended.
        server *bestSuspended = nullptr; ///< The server whose suspension ends first.
    };

    /** True if the server may get requests at some time: not draining or leaving, not replaced, and in no excluded failure domain. */
    bool usable(const server &candidate) const;
    /** The earliest time, @p now or later, at which the server may get a request; time_point::max() if never. */
    time_point availableAt(const server &candidate, time_point now) const;
    /** As availableAt(), but time_point::max() if the server's rate limit is used up. */
    time_point waitableAt(const server &candidate, time_point now) const;
    /** The earliest of the times that @p timeOf returns for the servers of the service. */
    time_point earliest(const service_id &service, std::invocable<const server &> auto &&timeOf) const;
    /** True if requests may go to servers of this version of the service. */
    bool versionAllows(const server &candidate) const;
    /** True unless the server is cold and this node has used up its share of the server's warm-up rate. */
    bool warmUpAllows(const server &candidate, time_point now) const;
    std::optional<backend_choice> chooseFrom(const std::vector<server *> &servers,
                                             const std::vector<backend_server_id> &excluded,
                                             suspended_server_policy suspended,
                                             duration medianLatency,
                                             time_point now);
    candidates cheapest(const std::vector<server *> &servers,
                        const std::vector<backend_server_id> &excluded,
                        const version_filter &versions,
                        suspended_server_policy suspended,
                        duration medianLatency,
                        time_point now);
    void countWarmUp(server &chosen, time_point now);
    void erase(const backend_server_id &id, time_point now);
    /** True if the entry is from an earlier run, or an earlier report of the same run, than the last one known. */
    bool isStale(const backend_entry &entry) const;
    void insert(const backend_entry &entry, time_point now);

    failure_domain_id m_ownDomain;
    std::mt19937_64 m_randomEngine;
    std::map<backend_server_id, server> m_servers;
    std::unordered_map<service_id, std::vector<server *>> m_byService;
    std::map<backend_server_id, removed_server> m_removed;
    std::set<failure_domain_id> m_excludedDomains;
    std::map<service_id, service_rules> m_rules;
    std::map<service_id, version_share> m_versionShares;
    double m_warmUpOverrun = 1.0;
    double m_warmUpSlack = 0.0;
    std::size_t m_nodeCount = 1;
    bool m_storeUnavailable = false;
    time_point m_keepMissingUntil{}; ///< Until then, entries that are missing in the store are kept.
};

} // namespace snipefall
