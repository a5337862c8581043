#include "node/node.h"

#include <chrono>
#include <optional>
#include <thread>

#include <fmt/format.h>

#include "blackboard/topology_board.h"
#include "core/clock.h"
#include "core/configuration_replica.h"
#include "core/logger.h"
#include "http/fan_out_engine.h"
#include "http/http_call.h"
#include "http/http_server.h"
#include "node/account_keeper.h"
#include "node/caller_api.h"
#include "node/configuration_controller.h"
#include "node/controller_thread.h"
#include "node/entry_service.h"
#include "node/execute_service.h"
#include "node/operator_api.h"
#include "node/query_service.h"
#include "node/sub_request_dispatcher.h"
#include "node/token_table.h"
#include "node/topology_controller.h"
#include "platform/configuration_log.h"
#include "platform/http_object_store.h"

namespace snipefall {

namespace {

http_server_options serverOptions(const std::string &address, const node_settings &settings, unsigned threads)
{
    http_server_options options;
    splitAddress(address, options.address, options.port);
    options.maxThreads = threads;
    options.certificateFile = settings.certificateFile;
    options.privateKeyFile = settings.privateKeyFile;
    return options;
}

} // namespace

struct node::parts
{
    explicit parts(const node_settings &nodeSettings)
        : settings(nodeSettings)
        , ownIncarnation(wallClockMs())
        , store(http_object_store_options{settings.platformAddress})
        , log(store)
        , engine(settings.ioThreads)
        , accounts(
              settings.id,
              ownIncarnation,
              [this](const std::string &key) { return store.read(call_purpose::account, key); },
              [this](const std::string &key, const std::string &value, object_version expected) {
                  return store.write(call_purpose::account, key, value, expected);
              })
        , configurations(replica, {[this] { return log.load(); }, [this](config_version version) { return log.readAfter(version); }})
        , topology(topologies, engine, [this] { return store.listVms(); })
        , dispatcher(
              engine,
              [](const backend_server_id &) { return 2U; },
              [this](const backend_server_id &id, const sub_response &response, duration) { observe(id, response); })
        , entries(replica, [this](const service_id &) { return std::vector<std::string>{settings.callerAddress}; })
        , queries(fmt::format("{}-{}", settings.id.str(), ownIncarnation.value()), replica, topologies, dispatcher, engine, accounts)
        , callers(entries, queries, executions)
        , operators(replica,
                    tokens,
                    {[this](const configuration_patch &patch) { return commit(patch); },
                     [this] { return status(); },
                     [this] { return ready(); },
                     [] { return std::string(); }})
    {
    }

    bool ready() const { return configurations.ready() && topology.ready() && !stopping; }

    void observe(const backend_server_id &id, const sub_response &response)
    {
        if (response.status == transport_status::closed || response.status == transport_status::connect_failed) {
            topology.refresh(id);
        } else if (response.status == transport_status::ok && response.httpStatus == 503) {
            topology.markLeaving(id);
        }
    }

    commit_result commit(const configuration_patch &patch)
    {
        commit_result result = log.commit(patch);
        if (result.status == commit_result::kind::applied) {
            configurations.step();
        }
        logInfo("configuration.patch", {{"patch", patch.id.str()}, {"author", patch.author}, {"result", result.message}});
        return result;
    }

    json status()
    {
        return {{"node", settings.id.str()},
                {"incarnation", ownIncarnation.value()},
                {"domain", settings.domain.str()},
                {"ready", ready()},
                {"configuration_version", replica.position().version.value()},
                {"configuration_digest", replica.position().digest},
                {"running_requests", callers.running()}};
    }

    const node_settings &settings;
    const incarnation ownIncarnation;
    std::atomic<bool> stopping{false};
    http_object_store store;
    configuration_log<http_object_store> log;
    configuration_replica replica;
    topology_board topologies;
    fan_out_engine engine;
    account_keeper accounts;
    configuration_controller configurations;
    topology_controller topology;
    sub_request_dispatcher dispatcher;
    entry_service entries;
    query_service queries;
    execute_service executions;
    caller_api callers;
    token_table tokens;
    operator_api operators;
    std::optional<http_server> callerServer;
    std::optional<http_server> operatorServer;
    std::vector<std::unique_ptr<controller_thread>> threads;
};

node::node(node_settings settings)
    : m_settings(std::move(settings))
{
}

node::~node() = default;

std::string node::start()
{
    m_parts = std::make_unique<parts>(m_settings);
    parts &self = *m_parts;
    if (!m_settings.tokenFile.empty()) {
        outcome<token_table> tokens = token_table::load(m_settings.tokenFile);
        if (!tokens) {
            return tokens.reason().message;
        }
        self.tokens = std::move(tokens).value();
    }
    self.callerServer.emplace(serverOptions(m_settings.callerAddress, m_settings, m_settings.maxRequests),
                              [&self](const http_request &request) { return self.callers.handle(request); });
    self.operatorServer.emplace(serverOptions(m_settings.operatorAddress, m_settings, 16),
                                [&self](const http_request &request) { return self.operators.handle(request); });
    for (http_server *server : {&*self.callerServer, &*self.operatorServer}) {
        const std::string problem = server->start();
        if (!problem.empty()) {
            return problem;
        }
    }
    self.threads.push_back(std::make_unique<controller_thread>(m_settings.configurationInterval, [&self] { self.configurations.step(); }));
    self.threads.push_back(std::make_unique<controller_thread>(m_settings.statusInterval, [&self] { self.topology.step(); }));
    self.threads.push_back(std::make_unique<controller_thread>(m_settings.accountInterval, [&self] {
        const std::string problem = self.accounts.save();
        if (!problem.empty()) {
            logWarning("account.save_failed", {{"reason", problem}});
        }
    }));
    logInfo("node.started",
            {{"node", m_settings.id.str()},
             {"incarnation", std::to_string(self.ownIncarnation.value())},
             {"callers", m_settings.callerAddress},
             {"operators", m_settings.operatorAddress}});
    return {};
}

void node::stop()
{
    parts &self = *m_parts;
    self.stopping = true;
    const auto ttl = std::chrono::milliseconds(self.replica.current()->entryTtlMs);
    std::this_thread::sleep_for(ttl + m_settings.drainMargin);
    self.callers.startDraining();
    while (self.callers.running() > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    self.callerServer->stop();
    for (const auto &thread : self.threads) {
        thread->stop();
    }
    const std::string problem = self.accounts.close();
    if (!problem.empty()) {
        logError("account.close_failed", {{"reason", problem}});
    }
    self.operatorServer->stop();
}

} // namespace snipefall
