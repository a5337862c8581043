#include "bench/data_path/node_data_path.h"

#include <fmt/format.h>

#include "core/configuration_replica.h"
#include "http/fan_out_engine.h"
#include "node/configuration_controller.h"
#include "node/crash_detector.h"
#include "node/move_manager.h"
#include "node/node_settings.h"
#include "node/peer_controller.h"
#include "node/quarantine_controller.h"
#include "node/query_environment.h"
#include "node/query_runner.h"
#include "node/service_runtime.h"
#include "node/sub_request_dispatcher.h"
#include "policy/snapshot_planner.h"

namespace snipefall {

namespace {

constexpr std::uint64_t ITEMS_PER_SHARD = 100;
constexpr permit_share USABLE_SHARE{64, 100};
constexpr unsigned SLOW_START_ANSWERS = 400;
const service_id SERVICE("desk");
const version_id VERSION("v1");

outcome<object> platformUnavailable()
{
    return failure{error_code::unavailable, "the benchmark has no platform"};
}

} // namespace

struct node_data_path::parts
{
    parts(const std::vector<std::string> &addresses, unsigned ioThreads)
        : configurations(replica,
                         {[] { return outcome<configuration_snapshot>(platformUnavailable().reason()); },
                          [](config_version) { return outcome<std::vector<configuration_patch>>(platformUnavailable().reason()); }})
        , peers(settings, incarnation(1), replica, configurations)
        , quarantine(peers)
        , moveManager(node_id("node-1"),
                      replica,
                      peers,
                      {[](const std::string &) { return outcome<std::vector<object>>(platformUnavailable().reason()); },
                       [](const std::string &) { return platformUnavailable(); },
                       [](const std::string &, const std::string &, object_version) { return outcome<object_version>(platformUnavailable().reason()); }},
                      [](const service_id &, const version_id &) { return warm_up_state(); })
        , engine(ioThreads)
        , crashDetector(engine, quarantine, [](const backend_server_id &) { return crash_detector::server_identity(); })
        , dispatcher(
              engine, [](const service_id &) { return USABLE_SHARE; }, [](const backend_server_id &, const sub_response &) {})
        , environment{dispatcher, engine, quarantine, crashDetector, moveManager}
        , runtime(16, [] { return 64U; })
    {
        for (std::size_t i = 0; i < addresses.size(); ++i) {
            backend_server server;
            server.id = backend_server_id(fmt::format("server-{:04}", i));
            server.address = addresses[i];
            server.service = SERVICE;
            server.version = VERSION;
            server.snapshots[snapshot_id("snapshot-1")] = {std::vector<std::uint64_t>(addresses.size(), ITEMS_PER_SHARD),
                                                           {shard_index(static_cast<std::uint32_t>(i))}};
            servers.push_back(std::move(server));
        }
    }

    planned_query plan()
    {
        planning_limits limits;
        limits.version = VERSION;
        return planQuery(servers, limits);
    }

    node_settings settings;
    configuration_replica replica;
    configuration_controller configurations;
    peer_controller peers;
    quarantine_controller quarantine;
    move_manager moveManager;
    fan_out_engine engine;
    crash_detector crashDetector;
    sub_request_dispatcher dispatcher;
    query_environment environment;
    service_runtime runtime;
    std::vector<backend_server> servers;
    std::atomic<std::uint64_t> lastQuery{0};
};

node_data_path::node_data_path(const std::vector<std::string> &addresses, unsigned ioThreads)
    : m_parts(std::make_unique<parts>(addresses, ioThreads))
{
}

node_data_path::~node_data_path() = default;

void node_data_path::plan()
{
    if (m_parts->plan().empty()) {
        ++m_incomplete;
    }
}

void node_data_path::query()
{
    query_task task;
    task.service = SERVICE;
    task.version = VERSION;
    task.request = request_id("bench");
    task.subRequestIdPrefix = "node-1-1700000000000";
    task.route = "query";
    task.query = R"({"text":"maple bowl blank"})";
    task.planned = m_parts->plan();
    task.options.number = query_number(++m_parts->lastQuery);
    task.options.deadline = std::chrono::seconds(10);
    // The hedge delay equals the deadline, because the benchmark measures the cost of sub-requests without hedges.
    task.options.hedges.delay = std::chrono::seconds(10);
    task.fingerprint = fingerprintOf({SERVICE.str(), task.route, task.query});
    task.newerSnapshotExists = [](const snapshot_id &) { return false; };
    const std::size_t width = m_parts->servers.size();
    const auto runner = std::make_shared<query_runner>(std::move(task), m_parts->runtime, m_parts->environment);
    const query_result result = runner->run();
    if (!result.outcome || result.outcome->covered.shardsAnswered != width) {
        ++m_incomplete;
    }
}

void node_data_path::completeSlowStart()
{
    for (const backend_server &server : m_parts->servers) {
        for (unsigned i = 0; i < SLOW_START_ANSWERS; ++i) {
            if (const auto slot = m_parts->dispatcher.tryAcquire(SERVICE, server.id)) {
                m_parts->dispatcher.release(server.id, *slot, {server_answer_kind::success, std::chrono::milliseconds(1), duration(0)});
            }
        }
    }
}

std::size_t node_data_path::openConnections() const
{
    return m_parts->engine.openConnections();
}

} // namespace snipefall
