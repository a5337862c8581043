#include "node/node_parts.h"

#include <algorithm>
#include <random>

#include <fmt/format.h>

#include "core/logger.h"
#include "node/audit_routes.h"
#include "node/closing_routes.h"
#include "node/move_routes.h"
#include "node/shared_interval.h"
#include "policy/placement.h"

namespace snipefall {

namespace {

constexpr duration LEAVING_SERVER_FACT_LIFETIME = std::chrono::minutes(10);
// Factor by which the interval of reads of the configuration log grows on nodes that don't watch the platform for their failure domain; peers notify these
// nodes of changes.
constexpr int NON_WATCHER_INTERVAL_FACTOR = 10;
// Limit for all nodes together. It leaves the rest of the 300 writes/s that the platform sustains to claims, permits and moves.
constexpr double SHARED_ACCOUNT_WRITES_PER_SECOND = 100.0;
// Limit for all nodes together, each for reads of the VM list and for reads of the move records by nodes that take part in no move. Without it, 470 nodes with
// two reads a second each would use 1,880 of the platform's 2,000 reads/s for these two.
constexpr double SHARED_READS_PER_SECOND = 100;
// Shorter than the interval of the steps, so that a step that runs slightly early is not skipped.
constexpr duration STEP_TOLERANCE = std::chrono::milliseconds(50);

std::uint64_t randomSeed()
{
    std::random_device random;
    return (static_cast<std::uint64_t>(random()) << 32) | random();
}

} // namespace

node_parts::node_parts(const node_settings &nodeSettings)
    : settings(nodeSettings)
    , ownIncarnation(wallClockMs())
    , httpStore(http_object_store_options{settings.platformAddress})
    , store(httpStore, call_budget_options(), randomSeed())
    , log(store)
    , claims(store, claim_log_options{{settings.id, ownIncarnation}, randomSeed(), [] { return wallClockMs(); }})
    , auditLog(store)
    , audit(settings.id, ownIncarnation, [this](const std::vector<json> &entries) { return auditLog.append(entries); })
    , accounts(settings.id,
               ownIncarnation,
               {[this](const std::string &key) { return store.read(call_purpose::account, key); },
                [this](const std::string &key, const std::string &value, object_version expected) {
                    return store.write(call_purpose::account, key, value, expected);
                },
                [this](const answer_record &record) { metrics.countAnswer(record); }})
    , configurations(replica, {[this] { return log.load(); }, [this](config_version version) { return log.readAfter(version); }})
    , peers(settings, ownIncarnation, replica, configurations)
    , placements([this] { return peers.placementVersion(); }, [this] { return peers.placementMembers(); })
    , quarantine(peers)
    , permits(settings.id,
              ownIncarnation,
              replica,
              peers,
              placements,
              {[this](const std::string &prefix) { return store.list(call_purpose::permit, prefix); },
               [this](const std::string &key, const std::string &value, object_version expected) {
                   return store.write(call_purpose::permit, key, value, expected);
               }},
              [this](const service_id &service) { return maxRunningPerServer(service); })
    , moves(
          settings.id,
          replica,
          peers,
          {[this](const std::string &prefix) { return store.list(call_purpose::move, prefix); },
           [this](const std::string &key) { return store.read(call_purpose::move, key); },
           [this](const std::string &key, const std::string &value, object_version expected) { return store.write(call_purpose::move, key, value, expected); }},
          [this](const service_id &service, const version_id &version) { return warmUp(service, version); })
    , engine(settings.ioThreads)
    , topology(topologies, engine, [this] { return store.listVms(); })
    , crashes(engine, quarantine, [this](const backend_server_id &id) { return topology.identityOf(id); })
    , dispatcher(
          engine,
          [this](const service_id &service) { return permits.usable(service); },
          [this](const backend_server_id &id, const sub_response &response) { observeResponse(id, response); })
    , environment{dispatcher, engine, quarantine, crashes, moves}
    , entries(replica, [this](const service_id &service) { return entriesOf(service); })
    , requestForwarder(
          settings.id,
          [this](const service_id &service, const request_id &request, bool forwarded, const std::set<node_id> &avoided) {
              if (replica.current()->services.count(service) == 0) {
                  // query_service and execute_service respond to requests for unknown services.
                  return forwarding_decision{forwarding_action::serve, std::nullopt};
              }
              return permits.route(service, request, forwarded, avoided);
          },
          [this](const service_id &service) {
              const auto config = replica.current();
              const auto found = config->services.find(service);
              return found == config->services.end() ? service_settings().deadlineMs : found->second.deadlineMs;
          },
          [this](const answer_record &record) { accounts.add(record); })
    , queries(settings.id,
              fmt::format("{}-{}", settings.id.str(), ownIncarnation.value()),
              replica,
              topologies,
              environment,
              accounts,
              [this](const service_id &service) { return permits.usable(service); })
    , executions(replica,
                 topologies,
                 environment,
                 accounts,
                 {[this](const service_id &service, const request_id &request) { return claims.claim(service, request); },
                  [this](const service_id &service, const request_id &request, object_version token, claim_state state, const std::string &body) {
                      const outcome<claim_state> recorded = claims.recordResult(service, request, token, state, body);
                      if (!recorded) {
                          logWarning("claim.not_recorded", {{"request", request.str()}, {"reason", recorded.reason().message}});
                      }
                  }})
    , callers(entries, requestForwarder, queries, executions, [this] { return configurations.ready(); })
    , closings(
          settings.id,
          replica,
          peers,
          accounts,
          {[this](const std::string &key) { return store.read(call_purpose::audit, key); },
           [this](const std::string &key, const std::string &value, object_version expected) { return store.write(call_purpose::audit, key, value, expected); },
           [this](const std::string &prefix) { return store.list(call_purpose::audit, prefix); },
           [this](const configuration_patch &patch) { return commit(patch); },
           [this](const service_id &service) { return callers.running(service); },
           [this] {
               return auditState(
                   audit, [this] { return auditLog.readLastSegment(); }, [this] { return auditLog.verify(); });
           },
           [this](const closing_record &record, const std::string &reason) {
               audit.record(record.author, "closing." + std::string(toString(record.state)) + " " + record.service.str(), reason, record.configuration.value());
           }})
    , operators(replica,
                tokens,
                {[this](const configuration_patch &patch) { return commit(patch); },
                 [this] { return status(); },
                 [this] { return ready(); },
                 [this] { return metricsText(); }})
{
    peers.onFact([this](const fact &newFact) { handleFact(newFact); });
    configurations.onChange([this](config_version version) {
        peers.announceConfiguration(version, false);
        for (const service_id &service : topologies.keys()) {
            applyTopology(service);
        }
    });
    topology.setFilter([this](const service_id &service) { return usesService(service); });
    topology.onChange([this](const service_id &service) { applyTopology(service); });
    topology.onNodesListed([this](std::set<node_id> nodes) { peers.setListedNodes(std::move(nodes)); });
    topology.onLeaving([this](const backend_server &server) {
        peers.publish(makeFact(fact_kind::leaving_server, "leaving/" + server.id.str(), server.id.str(), LEAVING_SERVER_FACT_LIFETIME));
    });
    permits.onGrowth([this](const service_id &service) {
        if (const auto found = topologies.find(service); found && *found) {
            for (const backend_server &server : (*found)->servers) {
                dispatcher.offerSlots(server.id);
            }
        }
    });
    addMoveRoutes(operators, replica, moves, [this](const std::string &author, const std::string &action, const std::string &reason) {
        audit.record(author, action, reason, replica.position().version.value());
    });
    addClosingRoutes(operators, closings);
    addAuditRoute(operators, [this](std::uint64_t after) { return auditLog.readAfter(after); });
    recordEvents();
}

bool node_parts::ready() const
{
    return configurations.ready() && !stopping;
}

json node_parts::status()
{
    json members = json::array();
    for (const member &peer : peers.members()) {
        members.push_back({{"node", peer.id.str()},
                           {"domain", peer.domain.str()},
                           {"state", toString(peer.state)},
                           {"callers", peer.callerAddress},
                           {"configuration_version", peer.configVersion.value()}});
    }
    json permitSlots = json::object();
    for (const auto &[service, unused] : replica.current()->services) {
        if (const permit_share share = permits.usable(service); share.slots > 0) {
            permitSlots[service.str()] = share.slots;
        }
    }
    return {{"node", settings.id.str()},
            {"incarnation", ownIncarnation.value()},
            {"domain", settings.domain.str()},
            {"ready", ready()},
            {"stopping", stopping.load()},
            {"configuration_version", replica.position().version.value()},
            {"configuration_digest", replica.position().digest},
            {"running_requests", callers.running()},
            {"quarantined_requests", quarantine.quarantinedCount()},
            {"permits", std::move(permitSlots)},
            {"members", std::move(members)}};
}

std::string node_parts::metricsText()
{
    metrics.setGauge("configuration_version", static_cast<double>(replica.position().version.value()));
    metrics.setGauge("open_connections", static_cast<double>(engine.openConnections()));
    metrics.setGauge("quarantined_requests", static_cast<double>(quarantine.quarantinedCount()));
    metrics.setGauge("running_requests", static_cast<double>(callers.running()));
    metrics.setGauge("live_members", static_cast<double>(peers.clusterView()->live.size()));
    for (int purpose = 0; purpose <= static_cast<int>(call_purpose::account); ++purpose) {
        metrics.setPlatformCalls(static_cast<call_purpose>(purpose), store.counts(static_cast<call_purpose>(purpose)));
    }
    return metrics.text();
}

commit_result node_parts::commit(const configuration_patch &patch)
{
    commit_result result = log.commit(patch);
    if (result.status == commit_result::kind::applied) {
        configurations.step();
        peers.announceConfiguration(replica.position().version, true);
    }
    const bool applied = result.status == commit_result::kind::applied;
    audit.record(
        patch.author, applied ? "patch.applied" : "patch.refused", patch.id.str() + ": " + patch.reason + "; " + result.message, patch.baseVersion.value());
    logInfo("configuration.patch", {{"patch", patch.id.str()}, {"author", patch.author}, {"result", result.message}});
    return result;
}

void node_parts::stepConfiguration()
{
    peers.pullConfigurations();
    const std::int64_t now = std::chrono::duration_cast<std::chrono::milliseconds>(system_clock().now().time_since_epoch()).count();
    const std::int64_t interval =
        settings.configurationInterval.count() * (peers.watchesPlatform() || !configurations.ready() ? 1 : NON_WATCHER_INTERVAL_FACTOR);
    // This step may have been woken for a pull from a peer; the platform is still read at its own interval.
    if (now - m_lastConfigurationRead >= interval) {
        m_lastConfigurationRead = now;
        configurations.step();
    }
}

void node_parts::stepTopology()
{
    store.setNodes(static_cast<std::uint32_t>(std::max<std::size_t>(1, peers.clusterView()->live.size())));
    if (isSharedReadDue(m_lastListRead, settings.statusInterval) && topology.readList()) {
        m_lastListRead = system_clock().now();
    }
    topology.readStatuses();
    quarantine.tick();
}

bool node_parts::isSharedReadDue(time_point last, duration shortest) const
{
    return system_clock().now() - last >= sharedInterval(shortest, peers.clusterView()->live.size(), SHARED_READS_PER_SECOND) - STEP_TOLERANCE;
}

void node_parts::stepPermits()
{
    permits.step();
}

void node_parts::stepMoves()
{
    if (moves.isPlacedForActiveMove() || isSharedReadDue(m_lastMoveRead, duration(0))) {
        m_lastMoveRead = system_clock().now();
        moves.step();
    }
}

void node_parts::stepFaultDetection()
{
    moves.detectFaults();
}

void node_parts::stepAccounts()
{
    // A save writes up to PART_COUNT objects, so at 470 nodes the interval is about 38 s. It is also the longest period of answers that a killed node leaves
    // uncounted.
    const std::size_t objects = peers.clusterView()->live.size() * account_keeper::PART_COUNT;
    if (system_clock().now() - m_lastAccountSave < sharedInterval(settings.accountInterval, objects, SHARED_ACCOUNT_WRITES_PER_SECOND) - STEP_TOLERANCE) {
        return;
    }
    m_lastAccountSave = system_clock().now();
    const std::string problem = accounts.save();
    if (!problem.empty()) {
        logWarning("account.save_failed", {{"reason", problem}});
    }
}

void node_parts::stepAudit()
{
    const std::string problem = audit.flush();
    if (!problem.empty()) {
        logWarning("audit.save_failed", {{"reason", problem}});
    }
}

void node_parts::stepUnsavedClaims()
{
    claims.saveUnsaved();
}

void node_parts::recordEvents()
{
    const std::string self = "node " + settings.id.str();
    audit.record(self, "node.start", "incarnation " + std::to_string(ownIncarnation.value()));
    moves.onStep([this](const move_record &record) {
        audit.record(
            record.author,
            fmt::format("move.{} {} {} to {} at {}%", toString(record.state), record.service.str(), record.from.str(), record.to.str(), record.sharePercent),
            record.reason,
            replica.position().version.value());
    });
    quarantine.onSuspicion([this, self](const std::string &reason) { audit.record(self, "request.suspected", reason); });
}

void node_parts::observeResponse(const backend_server_id &id, const sub_response &response)
{
    if (response.status == transport_status::connect_failed) {
        topology.refresh(id);
    } else if (response.status == transport_status::ok && response.httpStatus == 503) {
        topology.markLeaving(id);
    }
}

void node_parts::handleFact(const fact &newFact)
{
    switch (newFact.kind) {
    case fact_kind::bad_version:
        moves.handleFact(newFact);
        break;
    case fact_kind::suspected_request:
        quarantine.handleFact(newFact);
        break;
    case fact_kind::leaving_server:
        topology.markLeaving(backend_server_id(newFact.payload));
        break;
    default:
        break;
    }
}

void node_parts::applyTopology(const service_id &service)
{
    const auto found = topologies.find(service);
    if (!found || !*found) {
        return;
    }
    const auto config = replica.current();
    for (const backend_server &server : (*found)->servers) {
        dispatcher.updateServer(server, config->excludedDomains.count(server.domain) > 0);
    }
}

unsigned node_parts::maxRunningPerServer(const service_id &service)
{
    unsigned largest = 0;
    if (const auto found = topologies.find(service); found && *found) {
        for (const backend_server &server : (*found)->servers) {
            largest = std::max(largest, dispatcher.running(server.id));
        }
    }
    return largest;
}

warm_up_state node_parts::warmUp(const service_id &service, const version_id &version)
{
    warm_up_state state;
    if (const auto found = topologies.find(service); found && *found) {
        for (const backend_server &server : (*found)->servers) {
            if (server.version == version && !server.leaving) {
                ++state.servers;
                state.coldServers += dispatcher.isCold(server.id) ? 1 : 0;
            }
        }
    }
    return state;
}

std::vector<std::string> node_parts::entriesOf(const service_id &service)
{
    const auto config = replica.current();
    const auto found = config->services.find(service);
    return found == config->services.end() ? std::vector<std::string>() : entryAddressesOf(service, peers.placementMembers(), found->second.slotsPerServer);
}

bool node_parts::usesService(const service_id &service)
{
    return permits.usable(service).slots > 0 || placements.placementOf(service)->includesNode(settings.id);
}

} // namespace snipefall
