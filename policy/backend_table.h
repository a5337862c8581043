#pragma once

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
#include "policy/service_rules.h"
#include "policy/version_share.h"

namespace snipefall {

/**
 * The backend servers that the platform lists, and the choice among them.
 *
 * An entry that vanishes while the platform's store is away, or just after its return, may belong to a server that lives and will be listed again; it is kept
 * for a short time.
 */
class backend_table
{
public:
    /** How the search for a server treats suspended ones. */
    enum class suspended_servers
    {
        avoided, ///< Used only when there is no other.
        excluded,
    };

    explicit backend_table(failure_domain_id ownDomain, std::uint64_t seed);

    /** Takes over a complete list of the store. Returns true if a server joined, left or changed. */
    bool replaceAll(const std::vector<backend_entry> &entries, time_point now);
    /** Takes over one entry. Returns false if it is older than what is known. */
    bool apply(const backend_entry &entry, time_point now);
    /** Takes over that an entry is gone. */
    void remove(const backend_server_id &id, time_point now);
    /** Another server answered at the address of @p id, so that it gets nothing until a newer report of it comes. */
    void noteReplaced(const backend_server_id &id);
    /** The store could not be asked; it may drop entries of servers that live. */
    void noteStoreAway(time_point now);
    /** The store answers again after it could not be asked. */
    void noteStoreBack(time_point now);
    /** Drops the entries whose time to come back is over. */
    std::vector<backend_server_id> expire(time_point now);

    /** Failure domains that get no requests. */
    void setExcludedDomains(std::set<failure_domain_id> domains) { m_excludedDomains = std::move(domains); }
    const std::set<failure_domain_id> &excludedDomains() const { return m_excludedDomains; }
    void setServiceRules(const std::map<service_id, service_rules> &rules, double warmUpOverrun, double warmUpSlack);
    /** Nodes that may send to the servers; connections and warm-up requests are shared among them. */
    void setNodeCount(std::size_t nodes) { m_nodes = nodes == 0 ? 1 : nodes; }
    /** Services whose requests are divided between versions. */
    void setVersionShares(std::map<service_id, version_share> shares) { m_versionShares = std::move(shares); }
    const std::map<service_id, version_share> &versionShares() const { return m_versionShares; }

    /**
     * The server of @p service from which an answer is to be expected soonest, without those in @p excluded; nothing if there is none.
     *
     * A cold server's request is counted against its warm-up rate when it is chosen.
     */
    std::optional<backend_choice>
    choose(const service_id &service, const std::vector<backend_server_id> &excluded, suspended_servers suspended, duration usualLatency, time_point now);
    /** True if the service has a server that may get requests, suspended or not. */
    bool hasServer(const service_id &service, time_point now) const;
    /** True if the service has such a server that could be reached when it was last tried. */
    bool hasReachableServer(const service_id &service, time_point now) const;
    /** True if so many services have no reachable server that this node is likely to be cut off. */
    bool seemsCutOff(time_point now) const;

    /** The health of a listed server; null after it was dropped. */
    backend_health *health(const backend_server_id &id);
    /** Most connections that this node may hold to a server of the service. */
    std::size_t connectionShare(const service_id &service) const;
    const backend_entry *find(const backend_server_id &id) const;
    /** True while the server is slow after its start. */
    bool isCold(const backend_server_id &id, time_point now) const;
    /** Servers of a version that may get requests. */
    std::size_t usableServers(const service_id &service, const version_id &version) const;
    std::size_t size() const { return m_servers.size(); }
    /** Servers that may get requests, by failure domain. */
    std::map<failure_domain_id, std::size_t> usableByDomain() const;

private:
    struct server
    {
        backend_entry entry;
        backend_health health;
        std::optional<time_point> expiresAt; ///< Missing in the store; dropped at this time unless it comes back.
        bool replaced = false; ///< Another server has its address.
        time_point coldUntil{};
        std::int64_t warmUpSecond = 0;
        unsigned warmUpRequests = 0;
    };
    struct departed
    {
        std::uint64_t startedMs = 0;
        std::uint64_t sequence = 0;
        time_point at{};
    };

    /** Which servers of a service are looked at. */
    struct version_filter
    {
        const version_id *target = nullptr; ///< Null: all servers.
        bool wantsTarget = false; ///< Otherwise those of other versions.
    };
    struct candidates
    {
        server *best = nullptr;
        server *bestSuspended = nullptr;
    };

    bool usable(const server &candidate) const;
    bool warmUpAllows(const server &candidate, time_point now) const;
    candidates cheapest(const std::vector<server *> &servers,
                        const std::vector<backend_server_id> &excluded,
                        const version_filter &versions,
                        duration usualLatency,
                        time_point now);
    void countWarmUp(server &chosen, time_point now);
    void erase(const backend_server_id &id, time_point now);
    bool staleReport(const backend_entry &entry) const;
    void insert(const backend_entry &entry, time_point now);

    failure_domain_id m_ownDomain;
    std::mt19937_64 m_random;
    std::map<backend_server_id, server> m_servers;
    std::unordered_map<service_id, std::vector<server *>> m_byService;
    std::map<backend_server_id, departed> m_departed;
    std::set<failure_domain_id> m_excludedDomains;
    std::map<service_id, service_rules> m_rules;
    std::map<service_id, version_share> m_versionShares;
    double m_warmUpOverrun = 1.0;
    double m_warmUpSlack = 0.0;
    std::size_t m_nodes = 1;
    bool m_storeAway = false;
    time_point m_keepMissingUntil{};
};

} // namespace snipefall
