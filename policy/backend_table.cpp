#include "policy/backend_table.h"

#include <algorithm>
#include <cmath>

namespace snipefall {

namespace {

/** Servers that live are listed again within about 2 s of the store's return; the rest covers their heartbeat and the way to this node. */
constexpr duration KEEP_MISSING = std::chrono::milliseconds(2500);
/** Reports of earlier runs are recognized for this time after the entry is gone. */
constexpr duration DEPARTED_RETENTION = std::chrono::seconds(60);
/** An entry that is missing in the store counts as worse than a listed one. */
constexpr double MISSING_COST = 2.0;
/** Servers are slower while they are cold. */
constexpr double COLD_COST = 1.6;
/** Random part of a cost, so that nodes with the same knowledge don't all choose the same server. */
constexpr double COST_JITTER = 0.05;
/** A server in another failure domain has to be this much better, because bytes between failure domains are expensive. */
constexpr double OTHER_DOMAIN_COST = 1.4;
/** Part of a server's connections that the nodes use together; the rest is left to nodes that this one does not know yet. */
constexpr double CONNECTION_USE = 0.9;
/** The share of services without a reachable server from which a node is taken to be cut off; single shards are lost without that. */
constexpr double CUT_OFF_SHARE = 0.3;
constexpr std::size_t FEWEST_CONNECTIONS = 2;
/** Connections to a server whose limit is not stated. */
constexpr std::size_t DEFAULT_CONNECTIONS = 64;

} // namespace

backend_table::backend_table(failure_domain_id ownDomain, std::uint64_t seed)
    : m_ownDomain(std::move(ownDomain))
    , m_random(seed)
{
}

bool backend_table::staleReport(const backend_entry &entry) const
{
    const auto known = m_servers.find(entry.id);
    if (known != m_servers.end()) {
        const backend_entry &current = known->second.entry;
        if (entry.startedMs != 0 && current.startedMs != 0 && entry.startedMs != current.startedMs) {
            return entry.startedMs < current.startedMs;
        }
        return entry.sequence < current.sequence;
    }
    const auto gone = m_departed.find(entry.id);
    if (gone == m_departed.end()) {
        return false;
    }
    if (entry.startedMs != 0 && gone->second.startedMs != 0 && entry.startedMs != gone->second.startedMs) {
        return entry.startedMs < gone->second.startedMs;
    }
    return entry.sequence < gone->second.sequence;
}

void backend_table::insert(const backend_entry &entry, time_point now)
{
    m_departed.erase(entry.id);
    server &added = m_servers[entry.id];
    added.entry = entry;
    added.coldUntil = now + entry.warmUpLeft;
    m_byService[entry.service].push_back(&added);
}

bool backend_table::apply(const backend_entry &entry, time_point now)
{
    if (staleReport(entry)) {
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
        m_departed.erase(entry.id);
        insert(entry, now);
        return true;
    }
    if (current.entry.startedMs != entry.startedMs || current.entry.address != entry.address) {
        current.health.reset();
    }
    const bool newReport = current.entry.startedMs != entry.startedMs || current.entry.address != entry.address || current.entry.sequence < entry.sequence;
    current.replaced = current.replaced && !newReport;
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
    if (known->second.entry.draining || (!m_storeAway && now >= m_keepMissingUntil)) {
        erase(id, now);
        return;
    }
    if (!known->second.expiresAt) {
        known->second.expiresAt = std::max(m_keepMissingUntil, now);
    }
}

void backend_table::noteReplaced(const backend_server_id &id)
{
    const auto known = m_servers.find(id);
    if (known != m_servers.end()) {
        known->second.replaced = true;
    }
}

void backend_table::noteStoreAway(time_point now)
{
    m_storeAway = true;
    m_keepMissingUntil = now + KEEP_MISSING;
}

void backend_table::noteStoreBack(time_point now)
{
    if (m_storeAway) {
        m_storeAway = false;
        m_keepMissingUntil = now + KEEP_MISSING;
    }
}

std::vector<backend_server_id> backend_table::expire(time_point now)
{
    std::vector<backend_server_id> expired;
    if (!m_storeAway) {
        for (const auto &[id, known] : m_servers) {
            if (known.expiresAt && now >= std::max(*known.expiresAt, m_keepMissingUntil)) {
                expired.push_back(id);
            }
        }
    }
    for (const backend_server_id &id : expired) {
        erase(id, now);
    }
    std::erase_if(m_departed, [now](const auto &item) { return now - item.second.at > DEPARTED_RETENTION; });
    return expired;
}

void backend_table::erase(const backend_server_id &id, time_point now)
{
    const auto known = m_servers.find(id);
    server &gone = known->second;
    m_departed[id] = departed{gone.entry.startedMs, gone.entry.sequence, now};
    const auto service = m_byService.find(gone.entry.service);
    std::erase(service->second, &gone);
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
    return !candidate.entry.draining && !candidate.replaced && !m_excludedDomains.contains(candidate.entry.domain);
}

bool backend_table::warmUpAllows(const server &candidate, time_point now) const
{
    const auto rules = m_rules.find(candidate.entry.service);
    if (now >= candidate.coldUntil || rules == m_rules.end() || rules->second.warmUpRequestsPerSecond <= 0) {
        return true;
    }
    // The bound holds in any second; counting whole seconds can double a node's part at their border, so half of it is used.
    const double bound = rules->second.warmUpRequestsPerSecond * m_warmUpOverrun + m_warmUpSlack;
    const double share = bound / (2.0 * static_cast<double>(m_nodes));
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

backend_table::candidates backend_table::cheapest(
    const std::vector<server *> &servers, const std::vector<backend_server_id> &excluded, const version_filter &versions, duration usualLatency, time_point now)
{
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    const std::size_t connections = connectionShare(servers.front()->entry.service);
    candidates found;
    double bestCost = 0;
    for (server *candidate : servers) {
        if (!usable(*candidate) || !warmUpAllows(*candidate, now)) {
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
        if (candidate->health.suspended(now)) {
            if (!found.bestSuspended || candidate->health.suspendedUntil() < found.bestSuspended->health.suspendedUntil()) {
                found.bestSuspended = candidate;
            }
            continue;
        }
        double cost = candidate->health.cost(now, candidate->entry.slots, usualLatency) * (1.0 + COST_JITTER * unit(m_random));
        cost *= candidate->entry.domain == m_ownDomain ? 1.0 : OTHER_DOMAIN_COST;
        cost *= candidate->expiresAt ? MISSING_COST : 1.0;
        cost *= now < candidate->coldUntil ? COLD_COST : 1.0;
        if (!found.best || cost < bestCost) {
            found.best = candidate;
            bestCost = cost;
        }
    }
    return found;
}

std::optional<backend_choice> backend_table::choose(
    const service_id &service, const std::vector<backend_server_id> &excluded, suspended_servers suspended, duration usualLatency, time_point now)
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return std::nullopt;
    }
    version_filter versions;
    bool othersMayReplace = false;
    if (const auto divided = m_versionShares.find(service); divided != m_versionShares.end()) {
        versions.target = &divided->second.target;
        versions.wantsTarget = std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < divided->second.share;
        othersMayReplace = versions.wantsTarget || divided->second.targetMayReplaceOthers;
    }
    const candidates wanted = cheapest(found->second, excluded, versions, usualLatency, now);
    candidates others;
    if (!wanted.best && othersMayReplace) {
        versions.wantsTarget = !versions.wantsTarget;
        others = cheapest(found->second, excluded, versions, usualLatency, now);
    }
    server *best = wanted.best ? wanted.best : others.best;
    if (!best && suspended == suspended_servers::avoided) {
        best = wanted.bestSuspended ? wanted.bestSuspended : others.bestSuspended;
    }
    if (!best) {
        return std::nullopt;
    }
    countWarmUp(*best, now);
    return backend_choice{best->entry.id, best->entry.address};
}

bool backend_table::isCold(const backend_server_id &id, time_point now) const
{
    const auto known = m_servers.find(id);
    return known != m_servers.end() && now < known->second.coldUntil;
}

std::size_t backend_table::usableServers(const service_id &service, const version_id &version) const
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(
        found->second.begin(), found->second.end(), [&](const server *candidate) { return usable(*candidate) && candidate->entry.version == version; }));
}

bool backend_table::hasServer(const service_id &service, time_point now) const
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return false;
    }
    return std::any_of(
        found->second.begin(), found->second.end(), [&](const server *candidate) { return usable(*candidate) && warmUpAllows(*candidate, now); });
}

bool backend_table::hasReachableServer(const service_id &service, time_point now) const
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return false;
    }
    return std::any_of(found->second.begin(), found->second.end(), [&](const server *candidate) {
        return usable(*candidate) && warmUpAllows(*candidate, now) && !candidate->health.unreachable(now);
    });
}

bool backend_table::seemsCutOff(time_point now) const
{
    const auto lost = std::count_if(m_byService.begin(), m_byService.end(), [&](const auto &item) { return !hasReachableServer(item.first, now); });
    return lost > 0 && static_cast<double>(lost) >= CUT_OFF_SHARE * static_cast<double>(m_byService.size());
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
    const double share = CONNECTION_USE * rules->second.maxConnections / static_cast<double>(m_nodes);
    return std::max<std::size_t>(static_cast<std::size_t>(share), FEWEST_CONNECTIONS);
}

std::map<failure_domain_id, std::size_t> backend_table::usableByDomain() const
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
