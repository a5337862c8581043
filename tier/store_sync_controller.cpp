#include "tier/store_sync_controller.h"

#include <algorithm>
#include <utility>

#include "core/logger.h"
#include "platform/store_object_decoder.h"
#include "platform/wire_names.h"
#include "tier/loop_clock.h"
#include "tier/move_driver.h"
#include "tier/tier_blackboard.h"

namespace snipefall {

namespace {

/** After the store came back from an older copy, what it lacks is kept this long: several times what an operator's tool takes to write its orders again. */
constexpr duration RESTORE_PERIOD = std::chrono::seconds(10);

store_era newestEra(const fresh_read &read)
{
    store_era newest;
    for (const kind_version &version : read.kinds) {
        newest = std::max(newest, version.completeTo.era());
    }
    return newest;
}

} // namespace

store_sync_controller::store_sync_controller(
    boost::asio::io_context &loop, store_client &store, tier_blackboard &board, move_driver &moves, const boot_settings &settings, run_number run)
    : m_board(board)
    , m_moveDriver(moves)
    , m_configuration(loop,
                      store,
                      m_retryCoordinator,
                      wire::CONFIGURATION_KIND,
                      {[this](const object_listing &listing) {
                           for (const stored_object &object : listing.objects) {
                               applyConfiguration(object);
                           }
                       },
                       [this](const object_changes &changes) {
                           for (const object_change &change : changes.changes) {
                               if (!change.deleted) {
                                   applyConfiguration(change.object);
                               }
                           }
                       },
                       reachabilityHandler(store_kind::configuration),
                       readHandler(store_kind::configuration)})
    , m_backends(loop,
                 store,
                 m_retryCoordinator,
                 wire::BACKENDS_KIND,
                 {[this](const object_listing &listing) { applyBackendListing(listing); },
                  [this](const object_changes &changes) {
                      for (const object_change &change : changes.changes) {
                          if (change.deleted) {
                              logInfo("backend.removed", {{"server", change.object.name}, {"revision", toString(change.object.revision)}});
                              m_board.servers.remove(backend_server_id(change.object.name), now());
                          } else {
                              applyBackend(change.object);
                          }
                      }
                  },
                  [this](bool reachable) {
                      m_freshness.setReadable(store_kind::backend_servers, reachable);
                      if (reachable) {
                          m_board.servers.noteStoreAvailable(now());
                      } else {
                          m_board.servers.noteStoreUnavailable(now());
                      }
                  },
                  readHandler(store_kind::backend_servers)})
    , m_domains(loop,
                store,
                m_retryCoordinator,
                wire::EXCLUDED_DOMAINS_KIND,
                {[this](const object_listing &listing) { replaceExcludedDomains(listing); },
                 [this](const object_changes &changes) {
                     for (const object_change &change : changes.changes) {
                         applyExcludedDomain(change.object.name, !change.deleted && !change.object.deleting);
                     }
                     publishExcludedDomains();
                 },
                 reachabilityHandler(store_kind::excluded_domains),
                 readHandler(store_kind::excluded_domains)})
    , m_moves(loop,
              store,
              m_retryCoordinator,
              wire::MOVES_KIND,
              {[this](const object_listing &listing) {
                   std::vector<version_move> orders;
                   for (const stored_object &object : listing.objects) {
                       if (outcome<version_move> order = decodeMoveOrLog(object)) {
                           orders.push_back(std::move(order).value());
                       }
                   }
                   m_moveDriver.replaceAll(orders);
                   m_board.movesKnown = true;
               },
               [this](const object_changes &changes) {
                   for (const object_change &change : changes.changes) {
                       if (change.deleted) {
                           m_moveDriver.remove(change.object.name);
                       } else if (const outcome<version_move> order = decodeMoveOrLog(change.object)) {
                           m_moveDriver.apply(*order);
                       }
                   }
               },
               reachabilityHandler(store_kind::version_moves),
               readHandler(store_kind::version_moves)})
    , m_freshness(now(), run.value())
    , m_run(run)
{
    setBounds(settings);
}

void store_sync_controller::start(bool firstStart)
{
    const read_freshness freshness = firstStart ? read_freshness::may_be_stale : read_freshness::newest;
    for (object_watcher *watcher : watchers()) {
        watcher->start(freshness);
    }
}

void store_sync_controller::refresh()
{
    for (object_watcher *watcher : watchers()) {
        watcher->refresh();
    }
}

void store_sync_controller::handleStoreRestored()
{
    m_keepUnlistedUntil = now() + RESTORE_PERIOD;
    m_moveDriver.noteStoreRestored(m_keepUnlistedUntil);
    m_board.servers.noteStoreUnavailable(now());
    m_board.servers.noteStoreAvailable(now());
    refresh();
}

std::map<std::string, duration> store_sync_controller::knowledgeAges() const
{
    std::map<std::string, duration> ages;
    for (const store_kind kind : STORE_KINDS) {
        ages[toString(kind)] = m_freshness.age(kind, now());
    }
    return ages;
}

duration store_sync_controller::knowledgeAge(store_kind kind) const
{
    return m_freshness.age(kind, now());
}

bool store_sync_controller::applyPeerRead(const std::string &message)
{
    const outcome<fresh_read> read = decodeFreshRead(message);
    if (!read) {
        logWarning("store.peer_read_refused", {{"reason", read.reason().message}});
        return false;
    }
    if (store_era newest = newestEra(*read); newest > m_peerEra) {
        m_peerEra = newest;
        if (newest > m_configuration.known().completeTo().era()) {
            logInfo("store.peer_in_newer_era", {{"era", std::to_string(newest.value())}});
            refresh();
        }
    }
    if (read->origin == m_run || !m_freshness.applyPeerRead(*read, now())) {
        return false;
    }
    catchUpWithPeers();
    return true;
}

std::function<void(bool)> store_sync_controller::reachabilityHandler(store_kind kind)
{
    return [this, kind](bool reachable) { m_freshness.setReadable(kind, reachable); };
}

std::function<void(time_point, store_position)> store_sync_controller::readHandler(store_kind kind)
{
    return [this, kind](time_point begun, store_position storeRevision) { noteNewestRead(kind, begun, storeRevision); };
}

void store_sync_controller::noteNewestRead(store_kind kind, time_point begun, store_position storeRevision)
{
    m_freshness.noteRead(kind, begun, storeRevision);
    // The list of excluded domains is short. If the store has not changed since the other kinds were read, it proves that they are known as well.
    if (kind == store_kind::excluded_domains && m_freshness.roundRunning()) {
        for (const store_kind other : STORE_KINDS) {
            if (other == kind) {
                continue;
            }
            if (m_freshness.wasReadAt(other, storeRevision)) {
                m_freshness.noteRead(other, begun, storeRevision);
            } else {
                watcher(other).verify();
            }
        }
    }
    publishReadIfComplete();
}

void store_sync_controller::beginRound()
{
    const bool oneAfterAnother = !m_freshness.isLate(now());
    m_freshness.beginRound(now());
    if (m_domains.verify() && oneAfterAnother) {
        return;
    }
    for (const store_kind kind : STORE_KINDS) {
        watcher(kind).verify();
    }
}

void store_sync_controller::publishReadIfComplete()
{
    const std::optional<time_point> begun = m_freshness.endRoundIfComplete();
    if (!begun) {
        return;
    }
    fresh_read read{m_run, ++m_readNumber, now() - *begun, {}};
    for (const store_kind kind : STORE_KINDS) {
        if (m_freshness.readSince(kind, *begun)) {
            read.kinds[static_cast<std::size_t>(kind)] = watcher(kind).known().version();
        }
    }
    m_publishRead(encodeFreshRead(read));
}

void store_sync_controller::catchUpWithPeers()
{
    for (const store_kind kind : STORE_KINDS) {
        const auto step = m_freshness.compare(kind, watcher(kind).known(), now());
        if (step == catch_up::none) {
            continue;
        }
        logInfo("store.peer_ahead",
                {{"kind", toString(kind)},
                 {"own_revision", toString(watcher(kind).known().completeTo())},
                 {"age_ms", std::to_string(m_freshness.age(kind, now()).count() / 1000)}});
        if (step == catch_up::watch_newest) {
            watcher(kind).watchNewest();
        } else {
            watcher(kind).verify();
        }
    }
}

void store_sync_controller::logOverdueKnowledge()
{
    for (const store_kind kind : STORE_KINDS) {
        const duration age = m_freshness.age(kind, now());
        if (age <= m_freshness.bound()) {
            m_overdue.erase(kind);
            continue;
        }
        if (m_overdue.insert(kind).second) {
            logWarning("store.knowledge_overdue", {{"kind", toString(kind)}, {"age_ms", std::to_string(age.count() / 1000)}});
        }
    }
}

void store_sync_controller::setBounds(const boot_settings &settings)
{
    m_warmUpOverrun = settings.warmUpOverrun;
    m_warmUpSlack = settings.warmUpSlack;
    m_freshness.setBound(settings.changeBound);
    for (object_watcher *watcher : watchers()) {
        watcher->setHistoryTime(settings.storeHistory);
    }
    publishServiceRules();
}

void store_sync_controller::runDue(std::optional<std::size_t> rank)
{
    catchUpWithPeers();
    if (m_freshness.roundDue(rank, now())) {
        beginRound();
    }
    logOverdueKnowledge();
    dropUnlistedDomains();
    for (const backend_server_id &id : m_board.servers.expire(now())) {
        logInfo("backend.expired", {{"server", id.str()}, {"reason", "not_listed_again_after_store_outage"}});
    }
}

void store_sync_controller::applyConfiguration(const stored_object &object)
{
    if (object.name != wire::CONFIGURATION_NAME) {
        return;
    }
    std::string problems;
    outcome<site_configuration> decoded = decodeConfiguration(object.spec, problems);
    if (!decoded) {
        logError("configuration.unreadable", {{"revision", toString(object.revision)}, {"reason", decoded.reason().message}});
        return;
    }
    if (!problems.empty()) {
        logError("configuration.incomplete", {{"version", std::to_string(decoded->version.value())}, {"left_out", problems}});
    }
    if (m_board.routes && decoded->version <= m_board.routes->configuration().version) {
        return;
    }
    const auto configuration = std::make_shared<const site_configuration>(std::move(decoded).value());
    m_board.routes = std::make_shared<const route_matcher>(configuration);
    publishServiceRules();
    logInfo("configuration.in_force",
            {{"version", std::to_string(configuration->version.value())},
             {"revision", toString(object.revision)},
             {"routes", std::to_string(configuration->routes.size())},
             {"services", std::to_string(configuration->services.size())},
             {"organisations", std::to_string(configuration->organisations.organisations().size())}});
    if (m_onConfiguration) {
        m_onConfiguration(*configuration);
    }
}

void store_sync_controller::applyBackend(const stored_object &object)
{
    const outcome<backend_entry> entry = decodeBackend(object);
    if (!entry) {
        logWarning("backend.unreadable", {{"revision", toString(object.revision)}, {"reason", entry.reason().message}});
        m_board.servers.remove(backend_server_id(object.name), now());
        return;
    }
    const backend_entry *known = m_board.servers.find(entry->id);
    const bool joined = !known;
    const bool wasDraining = known && known->draining;
    if (!m_board.servers.apply(*entry, now())) {
        logInfo("backend.old_report",
                {{"server", entry->id.str()}, {"sequence", std::to_string(entry->sequence)}, {"started", std::to_string(entry->startedMs)}});
        return;
    }
    if (joined || entry->draining != wasDraining) {
        logInfo(joined ? "backend.joined" : "backend.changed",
                {{"server", entry->id.str()},
                 {"service", entry->service.str()},
                 {"address", entry->address},
                 {"draining", entry->draining ? "yes" : "no"},
                 {"revision", toString(object.revision)}});
    }
}

void store_sync_controller::applyBackendListing(const object_listing &listing)
{
    std::vector<backend_entry> entries;
    std::size_t unreadable = 0;
    for (const stored_object &object : listing.objects) {
        outcome<backend_entry> entry = decodeBackend(object);
        if (!entry) {
            ++unreadable;
            logWarning("backend.unreadable", {{"revision", toString(object.revision)}, {"reason", entry.reason().message}});
            continue;
        }
        entries.push_back(std::move(entry).value());
    }
    m_board.servers.replaceAll(entries, now());
    m_board.serversKnown = true;
    logInfo("backends.listed",
            {{"revision", toString(listing.storeRevision)},
             {"entries", std::to_string(entries.size())},
             {"unreadable", std::to_string(unreadable)},
             {"kept", std::to_string(m_board.servers.size())}});
}

void store_sync_controller::applyExcludedDomain(const std::string &name, bool excluded)
{
    m_unlistedDomains.erase(failure_domain_id(name));
    if (excluded) {
        m_excludedDomains.insert(failure_domain_id(name));
    } else {
        m_excludedDomains.erase(failure_domain_id(name));
    }
}

outcome<version_move> store_sync_controller::decodeMoveOrLog(const stored_object &object)
{
    outcome<version_move> order = decodeMove(object);
    if (!order) {
        logWarning("move.unreadable", {{"revision", toString(object.revision)}, {"reason", order.reason().message}});
    }
    return order;
}

void store_sync_controller::replaceExcludedDomains(const object_listing &listing)
{
    m_unlistedDomains = now() < m_keepUnlistedUntil ? std::exchange(m_excludedDomains, {}) : std::set<failure_domain_id>();
    m_excludedDomains.clear();
    for (const stored_object &object : listing.objects) {
        const failure_domain_id domain(object.name);
        m_unlistedDomains.erase(domain);
        if (!object.deleting) {
            m_excludedDomains.insert(domain);
        }
    }
    m_excludedDomains.insert(m_unlistedDomains.begin(), m_unlistedDomains.end());
    m_board.domainsKnown = true;
    publishExcludedDomains();
}

void store_sync_controller::dropUnlistedDomains()
{
    if (m_unlistedDomains.empty() || now() < m_keepUnlistedUntil) {
        return;
    }
    for (const failure_domain_id &domain : std::exchange(m_unlistedDomains, {})) {
        m_excludedDomains.erase(domain);
    }
    publishExcludedDomains();
}

void store_sync_controller::publishExcludedDomains()
{
    if (m_excludedDomains == m_board.servers.excludedDomains()) {
        return;
    }
    std::string names;
    for (const failure_domain_id &domain : m_excludedDomains) {
        names += (names.empty() ? "" : ",") + domain.str();
    }
    logInfo("domains.taken_out", {{"domains", names.empty() ? "none" : names}});
    m_board.servers.setExcludedDomains(m_excludedDomains);
}

void store_sync_controller::publishServiceRules()
{
    if (m_board.routes) {
        m_board.servers.setServiceRules(m_board.routes->configuration().services, m_warmUpOverrun, m_warmUpSlack);
    }
}

} // namespace snipefall
