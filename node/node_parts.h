#pragma once

#include <atomic>
#include <optional>
#include <vector>

#include "blackboard/service_topology_table.h"
#include "core/configuration_replica.h"
#include "http/fan_out_engine.h"
#include "http/http_server.h"
#include "node/account_keeper.h"
#include "node/audit_recorder.h"
#include "node/caller_api.h"
#include "node/closing_controller.h"
#include "node/configuration_controller.h"
#include "node/controller_thread.h"
#include "node/crash_detector.h"
#include "node/entry_service.h"
#include "node/execute_service.h"
#include "node/move_manager.h"
#include "node/node_metrics.h"
#include "node/node_settings.h"
#include "node/operator_api.h"
#include "node/peer_controller.h"
#include "node/permit_controller.h"
#include "node/placement_cache.h"
#include "node/quarantine_controller.h"
#include "node/query_environment.h"
#include "node/query_service.h"
#include "node/request_forwarder.h"
#include "node/sub_request_dispatcher.h"
#include "node/token_table.h"
#include "node/topology_controller.h"
#include "store/audit_log.h"
#include "store/budgeted_object_store.h"
#include "store/claim_log.h"
#include "store/configuration_log.h"
#include "store/http_object_store.h"

namespace snipefall {

/** Owns the components of a node and connects them. Members are declared in the order of their dependencies. */
class node_parts
{
public:
    explicit node_parts(const node_settings &nodeSettings);

    bool ready() const;
    json status();
    std::string metricsText();
    commit_result commit(const configuration_patch &patch);

    /** The steps that the controller threads run. */
    void stepConfiguration();
    void stepTopology();
    void stepPermits();
    void stepMoves();
    void stepFaultDetection();
    void stepAccounts();
    void stepAudit();
    void stepUnsavedClaims();

    using store_type = budgeted_object_store<http_object_store>;

    const node_settings &settings;
    const incarnation ownIncarnation;
    std::atomic<bool> stopping{false};
    http_object_store httpStore;
    store_type store;
    configuration_log<store_type> log;
    claim_log<store_type> claims;
    audit_log<store_type> auditLog;
    audit_recorder audit;
    configuration_replica replica;
    service_topology_table topologies;
    node_metrics metrics;
    account_keeper accounts;
    configuration_controller configurations;
    peer_controller peers;
    placement_cache placements;
    quarantine_controller quarantine;
    permit_controller permits;
    move_manager moves;
    // Declared after the components that completions on its threads use, so that its threads end before these are destroyed.
    fan_out_engine engine;
    topology_controller topology;
    crash_detector crashes;
    sub_request_dispatcher dispatcher;
    query_environment environment;
    entry_service entries;
    request_forwarder requestForwarder;
    query_service queries;
    execute_service executions;
    caller_api callers;
    closing_controller closings;
    token_table tokens;
    operator_api operators;

private:
    void observeResponse(const backend_server_id &id, const sub_response &response);
    void handleFact(const fact &newFact);
    void applyTopology(const service_id &service);
    unsigned maxRunningPerServer(const service_id &service);
    warm_up_state warmUp(const service_id &service, const version_id &version);
    std::vector<std::string> entriesOf(const service_id &service);
    bool usesService(const service_id &service);
    void recordEvents();
    /** Whether this node may repeat a read that every node makes; the interval grows with the number of live nodes, which keeps their total rate fixed. */
    bool isSharedReadDue(time_point last, duration shortest) const;

    std::atomic<std::int64_t> m_lastConfigurationRead{0};
    time_point m_lastListRead{}; ///< Used only by the thread that runs stepTopology().
    time_point m_lastAccountSave{}; ///< Used only by the thread that runs stepAccounts().
    time_point m_lastMoveRead{}; ///< Used only by the thread that runs stepMoves().
};

} // namespace snipefall
