#include "policy/backend_table.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "policy/server_announcement.h"

namespace snipefall {

namespace {

/** Live servers register again within about 2 s of the recovery of the store; the rest covers their heartbeat interval and the propagation to this node. */
constexpr duration MISSING_ENTRY_RETENTION = std::chrono::milliseconds(2500);
/** How long late reports of a removed server are recognized as stale, and how long the state of its last run is kept in case the store lists it again. */
constexpr duration REMOVED_SERVER_RETENTION = std::chrono::minutes(10);
/** Cost factor of a server whose entry is missing in the store, so that listed servers are preferred. */
constexpr double MISSING_COST = 2.0;
/** Cost factor of a cold server, which answers more slowly until it has warmed up. */
constexpr double COLD_COST = 1.6;
/** Cost factor of a server that named a rate limit, so that its few requests are left for when no other server is free. */
constexpr double LIMITED_COST = 2.0;
/** Random part of a cost, so that nodes with the same information don't all choose the same server. */
constexpr double COST_JITTER = 0.05;
/** Cost factor of a server in another failure domain, because traffic between failure domains is expensive. */
constexpr double OTHER_DOMAIN_COST = 1.4;
/** Part of a server's connection limit that the known nodes divide among them; the rest is left to nodes that this one does not know yet. */
constexpr double CONNECTION_LIMIT_SHARE = 0.9;
/** Share of services without a reachable server at which a node considers itself isolated; a few shards can also be unreachable for other reasons. */
constexpr double ISOLATION_SHARE = 0.3;
constexpr std::size_t MIN_CONNECTIONS = 2;
/** Connections to a server whose limit is not configured. */
constexpr std::size_t DEFAULT_CONNECTIONS = 64;

/** True if @p report is from an earlier run than @p last, or an earlier report of the same run. */
bool isOlder(const backend_entry &report, const backend_entry &last)
{
    if (report.startedMs != 0 && last.startedMs != 0 && report.startedMs != last.startedMs) {
        return report.startedMs < last.startedMs;
    }
    return report.sequence < last.sequence;
}

/** What is known of the server's run after @p report, if it was @p known after the @p last report. */
server_run_state runStateAfter(const backend_entry &report, const backend_entry &last, const server_run_state &known)
{
    if (report.startedMs != last.startedMs) {
        return server_run_state();
    }
    server_run_state state = known;
    state.setReplaced(known.isReplaced() && report.address == last.address && report.sequence <= last.sequence);
    return state;
}

} // namespace

backend_table::backend_table(failure_domain_id ownDomain, std::uint64_t seed)
    : m_ownDomain(std::move(ownDomain))
    , m_randomEngine(seed)
{
}

bool backend_table::isStale(const backend_entry &entry) const
{
    if (const auto known = m_servers.find(entry.id); known != m_servers.end()) {
        return isOlder(entry, known->second.entry);
    }
    const auto removed = m_removed.find(entry.id);
    return removed != m_removed.end() && isOlder(entry, removed->second.entry);
}

void backend_table::insert(const backend_entry &entry, time_point now)
{
    server &added = m_servers[entry.id];
    added.entry = entry;
    if (const auto removed = m_removed.find(entry.id); removed != m_removed.end()) {
        added.run = runStateAfter(entry, removed->second.entry, removed->second.run);
        added.run.setNodeCount(m_nodeCount);
        m_removed.erase(removed);
    }
    added.coldUntil = now + entry.warmUpLeft;
    m_byService[entry.service].push_back(&added);
}

bool backend_table::apply(const backend_entry &entry, time_point now)
{
    if (isStale(entry)) {
        return false;
    }
    const auto known = m_servers.find(entry.id);
    if (known == m_servers.end()) {
        insert(entry, now);
        return true;
    }
    server &current = known->second;
    if (current.entry.service != entry.service) {
        erase(entry.id, now);
        insert(entry, now);
        return true;
    }
    if (current.entry.startedMs != entry.startedMs || current.entry.address != entry.address) {
        current.health.reset();
    }
    current.run = runStateAfter(entry, current.entry, current.run);
    current.entry = entry;
    current.expiresAt.reset();
    current.coldUntil = now + entry.warmUpLeft;
    return true;
}

bool backend_table::replaceAll(const std::vector<backend_entry> &entries, time_point now)
{
    std::set<backend_server_id> listed;
    bool changed = false;
    for (const backend_entry &entry : entries) {
        listed.insert(entry.id);
        changed = apply(entry, now) || changed;
    }
    std::vector<backend_server_id> missing;
    for (const auto &[id, known] : m_servers) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const backend_server_id &id : missing) {
        remove(id, now);
        changed = true;
    }
    return changed;
}

void backend_table::remove(const backend_server_id &id, time_point now)
{
    const auto known = m_servers.find(id);
    if (known == m_servers.end()) {
        return;
    }
    if (known->second.entry.draining || (!m_storeUnavailable && now >= m_keepMissingUntil)) {
        erase(id, now);
        return;
    }
    if (!known->second.expiresAt) {
        known->second.expiresAt = std::max(m_keepMissingUntil, now);
    }
}

void backend_table::noteAddressReused(const backend_server_id &id)
{
    const auto known = m_servers.find(id);
    if (known != m_servers.end()) {
        known->second.run.setReplaced(true);
    }
}

bool backend_table::noteAnnouncement(const backend_server_id &id, const server_announcement &announced, time_point sentAt, time_point now)
{
    const auto known = m_servers.find(id);
    server_run_state *run = known == m_servers.end() ? nullptr : &known->second.run;
    if (const auto removed = m_removed.find(id); !run && removed != m_removed.end()) {
        run = &removed->second.run;
    }
    if (!run) {
        return false;
    }
    const double phase = announced.requestsPerSecond ? std::uniform_real_distribution<double>(0.0, 1.0)(m_randomEngine) : 0;
    return run->apply(announced, sentAt, m_nodeCount, phase, now);
}

void backend_table::setNodeCount(std::size_t nodes)
{
    m_nodeCount = std::max<std::size_t>(nodes, 1);
    for (auto &[id, known] : m_servers) {
        known.run.setNodeCount(m_nodeCount);
    }
}

void backend_table::noteStoreUnavailable(time_point now)
{
    m_storeUnavailable = true;
    m_keepMissingUntil = now + MISSING_ENTRY_RETENTION;
}

void backend_table::noteStoreAvailable(time_point now)
{
    if (m_storeUnavailable) {
        m_storeUnavailable = false;
        m_keepMissingUntil = now + MISSING_ENTRY_RETENTION;
    }
}

std::vector<backend_server_id> backend_table::expire(time_point now)
{
    std::vector<backend_server_id> expired;
    if (!m_storeUnavailable) {
        for (const auto &[id, known] : m_servers) {
            if (known.expiresAt && now >= std::max(*known.expiresAt, m_keepMissingUntil)) {
                expired.push_back(id);
            }
        }
    }
    for (const backend_server_id &id : expired) {
        erase(id, now);
    }
    std::erase_if(m_removed, [now](const auto &item) { return now - item.second.removedAt > REMOVED_SERVER_RETENTION; });
    return expired;
}

void backend_table::erase(const backend_server_id &id, time_point now)
{
    const auto known = m_servers.find(id);
    server &erased = known->second;
    m_removed[id] = removed_server{erased.entry, erased.run, now};
    const auto service = m_byService.find(erased.entry.service);
    std::erase(service->second, &erased);
    if (service->second.empty()) {
        m_byService.erase(service);
    }
    m_servers.erase(known);
}

void backend_table::setServiceRules(const std::map<service_id, service_rules> &rules, double warmUpOverrun, double warmUpSlack)
{
    m_rules = rules;
    m_warmUpOverrun = warmUpOverrun;
    m_warmUpSlack = warmUpSlack;
}

bool backend_table::usable(const server &candidate) const
{
    return !candidate.entry.draining && !candidate.run.isGone() && !m_excludedDomains.contains(candidate.entry.domain);
}

bool backend_table::versionAllows(const server &candidate) const
{
    const auto split = m_versionShares.find(candidate.entry.service);
    if (split == m_versionShares.end()) {
        return true;
    }
    const version_share &shares = split->second;
    const bool excludedTarget = candidate.entry.version == shares.target && shares.share == 0 && !shares.targetServesFallback;
    return !excludedTarget && !shares.stopped.contains(candidate.entry.version);
}

bool backend_table::warmUpAllows(const server &candidate, time_point now) const
{
    const auto rules = m_rules.find(candidate.entry.service);
    if (now >= candidate.coldUntil || rules == m_rules.end() || rules->second.warmUpRequestsPerSecond <= 0) {
        return true;
    }
    // The bound must hold in every interval of one second. Requests are counted per calendar second, so an interval that spans two of them can contain twice
    // the node's share; therefore only half of the share is used.
    const double bound = rules->second.warmUpRequestsPerSecond * m_warmUpOverrun + m_warmUpSlack;
    const double share = bound / (2.0 * static_cast<double>(m_nodeCount));
    const std::int64_t second = now.time_since_epoch() / std::chrono::seconds(1);
    const unsigned used = candidate.warmUpSecond == second ? candidate.warmUpRequests : 0;
    return static_cast<double>(used) + 1.0 <= share;
}

void backend_table::countWarmUp(server &chosen, time_point now)
{
    if (now >= chosen.coldUntil) {
        return;
    }
    const std::int64_t second = now.time_since_epoch() / std::chrono::seconds(1);
    if (chosen.warmUpSecond != second) {
        chosen.warmUpSecond = second;
        chosen.warmUpRequests = 0;
    }
    ++chosen.warmUpRequests;
}

backend_table::candidates backend_table::cheapest(const std::vector<server *> &servers,
                                                  const std::vector<backend_server_id> &excluded,
                                                  const version_filter &versions,
                                                  suspended_server_policy suspended,
                                                  duration medianLatency,
                                                  time_point now)
{
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    const std::size_t connections = connectionShare(servers.front()->entry.service);
    candidates found;
    double bestCost = 0;
    for (server *candidate : servers) {
        if (availableAt(*candidate, now) > now) {
            continue;
        }
        if (versions.target && (candidate->entry.version == *versions.target) != versions.wantsTarget) {
            continue;
        }
        if (std::find(excluded.begin(), excluded.end(), candidate->entry.id) != excluded.end()) {
            continue;
        }
        if (candidate->health.inFlight() >= connections) {
            continue;
        }
        if (candidate->run.limit().isActive() && suspended == suspended_server_policy::excluded) {
            continue;
        }
        if (candidate->health.suspended(now)) {
            if (!found.bestSuspended || candidate->health.suspendedUntil() < found.bestSuspended->health.suspendedUntil()) {
                found.bestSuspended = candidate;
            }
            continue;
        }
        double cost = candidate->health.cost(now, candidate->entry.slots, medianLatency) * (1.0 + COST_JITTER * unit(m_randomEngine));
        cost *= candidate->entry.domain == m_ownDomain ? 1.0 : OTHER_DOMAIN_COST;
        cost *= candidate->expiresAt ? MISSING_COST : 1.0;
        cost *= now < candidate->coldUntil ? COLD_COST : 1.0;
        cost *= candidate->run.limit().isActive() ? LIMITED_COST : 1.0;
        if (!found.best || cost < bestCost) {
            found.best = candidate;
            bestCost = cost;
        }
    }
    return found;
}

std::optional<backend_choice> backend_table::choose(
    const service_id &service, const std::vector<backend_server_id> &excluded, suspended_server_policy suspended, duration medianLatency, time_point now)
{
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? std::nullopt : chooseFrom(found->second, excluded, suspended, medianLatency, now);
}

std::optional<backend_choice>
backend_table::chooseAmong(const service_id &service, const std::vector<backend_server_id> &ids, duration medianLatency, time_point now)
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return std::nullopt;
    }
    std::vector<server *> servers;
    std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(servers), [&ids](const server *candidate) {
        return std::find(ids.begin(), ids.end(), candidate->entry.id) != ids.end();
    });
    return servers.empty() ? std::nullopt : chooseFrom(servers, {}, suspended_server_policy::avoided, medianLatency, now);
}

std::optional<backend_choice> backend_table::chooseFrom(const std::vector<server *> &servers,
                                                        const std::vector<backend_server_id> &excluded,
                                                        suspended_server_policy suspended,
                                                        duration medianLatency,
                                                        time_point now)
{
    const service_id &service = servers.front()->entry.service;
    version_filter versions;
    bool mayFallBack = false;
    if (const auto split = m_versionShares.find(service); split != m_versionShares.end()) {
        versions.target = &split->second.target;
        versions.wantsTarget = std::uniform_real_distribution<double>(0.0, 1.0)(m_randomEngine) < split->second.share;
        mayFallBack = versions.wantsTarget || split->second.targetServesFallback;
    }
    const candidates preferred = cheapest(servers, excluded, versions, suspended, medianLatency, now);
    candidates fallback;
    if (!preferred.best && mayFallBack) {
        versions.wantsTarget = !versions.wantsTarget;
        fallback = cheapest(servers, excluded, versions, suspended, medianLatency, now);
    }
    server *best = preferred.best ? preferred.best : fallback.best;
    if (!best && suspended == suspended_server_policy::avoided) {
        best = preferred.bestSuspended ? preferred.bestSuspended : fallback.bestSuspended;
    }
    if (!best) {
        return std::nullopt;
    }
    countWarmUp(*best, now);
    best->run.countRequest(now);
    return backend_choice{best->entry.id, best->entry.address};
}

const backend_entry *backend_table::sibling(const backend_server_id &id, time_point now) const
{
    const backend_entry *entry = find(id);
    const auto found = entry ? m_byService.find(entry->service) : m_byService.end();
    if (found == m_byService.end()) {
        return nullptr;
    }
    for (const server *candidate : found->second) {
        if (candidate->entry.id != id && candidate->entry.address != entry->address && usable(*candidate) && !candidate->health.suspended(now)) {
            return &candidate->entry;
        }
    }
    return nullptr;
}

bool backend_table::isCold(const backend_server_id &id, time_point now) const
{
    const auto known = m_servers.find(id);
    return known != m_servers.end() && now < known->second.coldUntil;
}

std::size_t backend_table::usableServerCount(const service_id &service, const version_id &version) const
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(
        found->second.begin(), found->second.end(), [&](const server *candidate) { return usable(*candidate) && candidate->entry.version == version; }));
}

time_point backend_table::availableAt(const server &candidate, time_point now) const
{
    if (!usable(candidate) || !versionAllows(candidate)) {
        return time_point::max();
    }
    const time_point at = candidate.run.availableAt(now);
    // A cold server that has had its requests of this second may get more in the next one.
    return warmUpAllows(candidate, at) ? at : std::chrono::time_point_cast<duration>(std::chrono::floor<std::chrono::seconds>(at) + std::chrono::seconds(1));
}

time_point backend_table::waitableAt(const server &candidate, time_point now) const
{
    return candidate.run.isAtLimit(now) ? time_point::max() : availableAt(candidate, now);
}

time_point backend_table::earliest(const service_id &service, std::invocable<const server &> auto &&timeOf) const
{
    time_point earliest = time_point::max();
    if (const auto found = m_byService.find(service); found != m_byService.end()) {
        for (const server *candidate : found->second) {
            earliest = std::min(earliest, timeOf(*candidate));
        }
    }
    return earliest;
}

time_point backend_table::availableAt(const service_id &service, time_point now) const
{
    return earliest(service, [&](const server &candidate) { return availableAt(candidate, now); });
}

time_point backend_table::waitableAt(const service_id &service, time_point now) const
{
    return earliest(service, [&](const server &candidate) { return waitableAt(candidate, now); });
}

time_point backend_table::reachableAt(const service_id &service, time_point now) const
{
    return earliest(service, [&](const server &candidate) { return candidate.health.unreachable(now) ? time_point::max() : waitableAt(candidate, now); });
}

time_point backend_table::serverWaitableAt(const backend_server_id &id, time_point now) const
{
    const auto known = m_servers.find(id);
    return known == m_servers.end() ? time_point::max() : waitableAt(known->second, now);
}

duration backend_table::requestInterval(const service_id &service, duration medianLatency) const
{
    double requestsPerSecond = 0;
    if (const auto found = m_byService.find(service); found != m_byService.end()) {
        for (const server *candidate : found->second) {
            if (!usable(*candidate) || !versionAllows(*candidate)) {
                continue;
            }
            const announced_rate_limit &limit = candidate->run.limit();
            const duration perRequest = medianLatency * static_cast<std::int64_t>(m_nodeCount) / std::max(candidate->entry.slots, 1U);
            requestsPerSecond += 1 / std::chrono::duration<double>(std::max(limit.isActive() ? limit.interval() : perRequest, duration(1))).count();
        }
    }
    return requestsPerSecond > 0 ? std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / requestsPerSecond)) : medianLatency;
}

bool backend_table::hasReachableServer(const service_id &service, time_point now) const
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return false;
    }
    return std::any_of(found->second.begin(), found->second.end(), [&](const server *candidate) {
        return usable(*candidate) && versionAllows(*candidate) && warmUpAllows(*candidate, now) && !candidate->health.unreachable(now);
    });
}

bool backend_table::seemsIsolated(time_point now) const
{
    const auto unreachableServices =
        std::count_if(m_byService.begin(), m_byService.end(), [&](const auto &item) { return !hasReachableServer(item.first, now); });
    return unreachableServices > 0 && static_cast<double>(unreachableServices) >= ISOLATION_SHARE * static_cast<double>(m_byService.size());
}

bool backend_table::isPaused(const backend_server_id &id, time_point now) const
{
    const auto known = m_servers.find(id);
    return known != m_servers.end() && known->second.run.isPaused(now);
}

backend_health *backend_table::health(const backend_server_id &id)
{
    const auto known = m_servers.find(id);
    return known == m_servers.end() ? nullptr : &known->second.health;
}

std::size_t backend_table::connectionShare(const service_id &service) const
{
    const auto rules = m_rules.find(service);
    if (rules == m_rules.end() || rules->second.maxConnections == 0) {
        return DEFAULT_CONNECTIONS;
    }
    const double share = CONNECTION_LIMIT_SHARE * rules->second.maxConnections / static_cast<double>(m_nodeCount);
    return std::max<std::size_t>(static_cast<std::size_t>(share), MIN_CONNECTIONS);
}

std::map<failure_domain_id, std::size_t> backend_table::usableServerCountByDomain() const
{
    std::map<failure_domain_id, std::size_t> counts;
    for (const auto &[id, known] : m_servers) {
        if (usable(known)) {
            ++counts[known.entry.domain];
        }
    }
    return counts;
}

const backend_entry *backend_table::find(const backend_server_id &id) const
{
    const auto known = m_servers.find(id);
    return known == m_servers.end() ? nullptr : &known->second.entry;
}

} // namespace snipefall
