#include "node/node.h"

#include <chrono>
#include <thread>
#include <vector>

#include "core/logger.h"
#include "http/http_call.h"
#include "node/node_parts.h"

namespace snipefall {

namespace {

constexpr unsigned OPERATOR_THREADS = 16;
constexpr std::chrono::milliseconds PERMIT_INTERVAL{200};
constexpr std::chrono::milliseconds MOVE_INTERVAL{500};
constexpr std::chrono::milliseconds FAULT_DETECTION_INTERVAL{100};
constexpr std::chrono::milliseconds DRAIN_IDLE_INTERVAL{250};
constexpr std::chrono::milliseconds AUDIT_INTERVAL{1000};
constexpr std::chrono::milliseconds UNSAVED_CLAIMS_INTERVAL{1000};
constexpr duration DRAINING_FACT_LIFETIME = std::chrono::minutes(10);
// Longest wait for a pull from a peer. stepConfiguration() reads the platform at an interval of its own, which is usually longer.
constexpr std::chrono::milliseconds CONFIGURATION_STEP_INTERVAL{100};

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

struct node::running_state
{
    explicit running_state(const node_settings &settings)
        : parts(settings)
    {
    }

    void addThread(std::chrono::milliseconds interval, void (node_parts::*step)())
    {
        threads.push_back(std::make_unique<controller_thread>(interval, [this, step] { (parts.*step)(); }));
    }

    node_parts parts;
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
    m_running = std::make_unique<running_state>(m_settings);
    running_state &self = *m_running;
    node_parts &parts = self.parts;
    if (!m_settings.tokenFile.empty()) {
        outcome<token_table> tokens = token_table::load(m_settings.tokenFile);
        if (!tokens) {
            return tokens.reason().message;
        }
        parts.tokens = std::move(tokens).value();
    }
    std::string problem = parts.peers.start();
    if (!problem.empty()) {
        return problem;
    }
    self.callerServer.emplace(serverOptions(m_settings.callerAddress, m_settings, m_settings.maxRequests),
                              [&parts](const http_request &request) { return parts.callers.handle(request); });
    self.operatorServer.emplace(serverOptions(m_settings.operatorAddress, m_settings, OPERATOR_THREADS),
                                [&parts](const http_request &request) { return parts.operators.handle(request); });
    for (http_server *server : {&*self.callerServer, &*self.operatorServer}) {
        problem = server->start();
        if (!problem.empty()) {
            return problem;
        }
    }
    self.addThread(CONFIGURATION_STEP_INTERVAL, &node_parts::stepConfiguration);
    controller_thread &configurationThread = *self.threads.back();
    parts.peers.onPullNeeded([&configurationThread] { configurationThread.wake(); });
    self.addThread(m_settings.statusInterval, &node_parts::stepTopology);
    self.addThread(PERMIT_INTERVAL, &node_parts::stepPermits);
    self.addThread(MOVE_INTERVAL, &node_parts::stepMoves);
    self.addThread(FAULT_DETECTION_INTERVAL, &node_parts::stepFaultDetection);
    self.addThread(m_settings.accountInterval, &node_parts::stepAccounts);
    self.addThread(AUDIT_INTERVAL, &node_parts::stepAudit);
    self.addThread(UNSAVED_CLAIMS_INTERVAL, &node_parts::stepUnsavedClaims);
    logInfo("node.started",
            {{"node", m_settings.id.str()},
             {"incarnation", std::to_string(parts.ownIncarnation.value())},
             {"callers", m_settings.callerAddress},
             {"operators", m_settings.operatorAddress}});
    return {};
}

void node::stop()
{
    running_state &self = *m_running;
    node_parts &parts = self.parts;
    parts.stopping = true;
    parts.peers.publish(makeFact(fact_kind::draining_node, "draining/" + m_settings.id.str(), m_settings.id.str(), DRAINING_FACT_LIFETIME));
    const auto ttl = std::chrono::milliseconds(parts.replica.current()->entryTtlMs);
    std::this_thread::sleep_for(ttl + m_settings.drainMargin);
    parts.callers.startDraining();
    // A response may not be fully sent yet, and a request not fully received. The server stops only after an interval without running or new requests.
    std::uint64_t arrived = 0;
    do {
        arrived = parts.callers.arrived();
        std::this_thread::sleep_for(DRAIN_IDLE_INTERVAL);
    } while (parts.callers.running() > 0 || parts.callers.arrived() != arrived);
    self.callerServer->stop();
    for (const auto &thread : self.threads) {
        thread->stop();
    }
    const std::string problem = parts.accounts.close();
    if (!problem.empty()) {
        logError("account.close_failed", {{"reason", problem}});
    }
    parts.audit.record("node " + m_settings.id.str(), "node.stop", "planned stop");
    parts.stepAudit();
    parts.peers.stop();
    self.operatorServer->stop();
}

} // namespace snipefall
