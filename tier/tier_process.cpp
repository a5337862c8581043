#include "tier/tier_process.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>
#include <malloc.h>

#include "core/logger.h"
#include "http/receive_buffer.h"
#include "platform/caller_messages.h"
#include "platform/directory_messages.h"
#include "policy/connections/connection_limits.h"
#include "tier/loop_clock.h"

namespace snipefall {

namespace {

/** How often the settings file is checked for changes; the platform may change it without sending a signal. */
constexpr duration BOOT_CHECK_INTERVAL = std::chrono::seconds(2);
constexpr duration HOUSEKEEPING_INTERVAL = std::chrono::milliseconds(250);
/** For this time after its start a node counts all registered nodes as live, because it may not have found all of its peers yet. */
constexpr duration JOIN_PERIOD = std::chrono::seconds(10);
/** A starting node waits this long for listen addresses that it can't use, for example because its predecessor hasn't ended yet. */
constexpr duration LISTEN_RETRY_TIME = std::chrono::seconds(5);
constexpr duration LISTEN_RETRY_INTERVAL = std::chrono::milliseconds(20);
/** A stopping node stops accepting connections this long before the grace time ends. Until then, callers may still use its address from the directory. */
constexpr duration ACCEPT_CUTOFF_BEFORE_KILL = std::chrono::milliseconds(900);
/** A stopping node answers all requests that are still running this long before the grace time ends, and then exits. */
constexpr duration ANSWER_CUTOFF_BEFORE_KILL = std::chrono::milliseconds(450);
/** Time for the last answers to be written to their connections before the event loop stops. */
constexpr duration RESPONSE_FLUSH_TIME = std::chrono::milliseconds(150);

/** What a node uses besides its connections, with a large configuration. */
constexpr std::size_t BASE_MEMORY_MB = 24;
constexpr std::size_t MIN_CONNECTION_MEMORY_MB = 4;
constexpr int LARGE_BLOCK_BYTES = 131072;
/** Lookups and checks have no body. */
constexpr std::size_t SIDE_BODY_BYTES = 4096;
constexpr duration CLOSED_CONNECTIONS_LOG_INTERVAL = std::chrono::minutes(1);

/** Number of peers to which each node passes a message about a read of the store: it then reaches some 98% of them, and the next read most of the rest. */
constexpr std::size_t READ_FANOUT = 4;

std::filesystem::file_time_type modificationTime(const std::string &path)
{
    std::error_code ignored; // A missing file is reported when it is read.
    return std::filesystem::last_write_time(path, ignored);
}

async_client_options clientOptions(std::shared_ptr<memory_account> memory)
{
    async_client_options options;
    options.memory = std::move(memory);
    return options;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

member ownMember(const boot_settings &boot)
{
    member self;
    self.id = boot.node;
    self.peerAddress = boot.peerAddress;
    self.callerAddress = boot.callerAddress;
    self.domain = boot.domain;
    self.started = incarnation(wallClockMs());
    return self;
}

} // namespace

tier_process::tier_process(tier_settings settings, boot_settings boot)
    : m_settings(std::move(settings))
    , m_boot(std::move(boot))
    , m_seed(randomSeed())
    , m_loop(1)
    , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
    , m_housekeepingTimer(m_loop)
    , m_stopTimer(m_loop)
    , m_startTimer(m_loop)
    , m_board(m_boot.domain, m_seed)
    , m_store(m_loop, m_boot.storeAddress)
    , m_connectionMemory(std::make_shared<memory_account>())
    , m_client(m_loop, clientOptions(m_connectionMemory))
    , m_moveDriver(m_store, m_board, m_boot.node)
    , m_storeSync(m_loop, m_store, m_board, m_moveDriver, m_boot, run_number(m_seed + 3))
    , m_crashController(m_client, m_store, m_board)
    , m_self(ownMember(m_boot))
    , m_usage(m_store, m_client, m_boot.node, m_self.started, m_boot.usageDuty)
    , m_callers({m_loop, m_client, m_board, m_metrics, m_crashController, m_moveDriver, m_usage, *m_connectionMemory}, m_settings, m_seed + 1)
    , m_callerServer(m_loop, [this](const std::shared_ptr<http_exchange> &exchange) { m_callers.handle(exchange); })
    , m_readyServer(m_loop, [this](const std::shared_ptr<http_exchange> &exchange) { answerReadinessCheck(*exchange); })
    , m_directoryServer(m_loop, [this](const std::shared_ptr<http_exchange> &exchange) { answerDirectoryLookup(*exchange); })
    , m_metricsServer(m_loop, [this](const std::shared_ptr<http_exchange> &exchange) { answerMetrics(*exchange); })
    , m_peers(m_loop, m_self, m_boot.processorCores, m_boot.deployment, m_seed + 2)
    , m_nodeRegistration(m_loop,
                         m_store,
                         m_self,
                         [this](std::vector<std::string> addresses) {
                             m_registeredNodes = addresses.size();
                             m_peers.setAddressHints(std::move(addresses));
                         })
    , m_bootFileModifiedAt(modificationTime(m_settings.bootFile))
    , m_startedAt(now())
{
}

std::optional<std::string> tier_process::run()
{
    waitForSignals();
    applyMachineLimits();
    start();
    m_loop.run();
    if (!m_startProblem) {
        logInfo("node.stopped", {{"node", m_boot.node.str()}});
    }
    return m_startProblem;
}

void tier_process::start()
{
    if (auto problem = listen()) {
        if (now() - m_startedAt >= LISTEN_RETRY_TIME) {
            m_startProblem = std::move(problem);
            m_loop.stop();
            return;
        }
        if (!std::exchange(m_listenFailed, true)) {
            logWarning("address.not_usable", {{"reason", *problem}});
        }
        scheduleAfter(m_startTimer, LISTEN_RETRY_INTERVAL, &tier_process::start);
        return;
    }
    m_started = true;
    if (m_listenFailed) {
        logInfo("address.usable", {{"waited_ms", std::to_string((now() - m_startedAt).count() / 1000)}});
    }
    logInfo("node.started",
            {{"node", m_boot.node.str()},
             {"domain", m_boot.domain.str()},
             {"callers", m_boot.callerAddress},
             {"store", m_boot.storeAddress},
             {"incarnation", std::to_string(m_self.started.value())}});
    m_store.onEraRaised([this](store_era) {
        m_storeSync.handleStoreRestored();
        m_nodeRegistration.restore();
        m_crashController.restoreTrials(now());
        m_usage.noteStoreRestored();
    });
    m_storeSync.onConfiguration([this](const site_configuration &configuration) { applyConfiguration(configuration); });
    m_storeSync.setReadPublisher([this](const std::string &read) { m_peers.sendToRandom(READ_FANOUT, message_kind::fresh_read, read); });
    m_peers.onMessage(message_kind::fresh_read, [this](const node_id &, const std::string &read) {
        if (m_storeSync.applyPeerRead(read)) {
            m_peers.sendToRandom(READ_FANOUT, message_kind::fresh_read, read);
        }
    });
    m_peers.setOutsideAnswers([this] { return std::chrono::time_point_cast<duration>(std::max(m_client.lastAnswerAt(), m_store.lastAnswerAt())); });
    m_peers.onFact([this](const fact &peerFact) { handlePeerFact(peerFact); });
    m_moveDriver.setPeers({[this](fact ownFact) { m_peers.publish(std::move(ownFact)); },
                           [this](fact_kind kind) { return m_peers.facts(kind); },
                           [this] { return m_peers.rank(); },
                           [this](const std::string &report) { m_peers.sendToFirst(move_driver::COORDINATORS, message_kind::move_counts, report); }});
    m_peers.onMessage(message_kind::move_counts, [this](const node_id &sender, const std::string &report) { m_moveDriver.applyCountReport(sender, report); });
    if (m_usage.isWanted()) {
        m_usage.setPeers({[this](const std::string &counts) { m_peers.sendToFirst(duty_lease::CANDIDATES, message_kind::usage_counts, counts); },
                          [this](const std::string &lease) { m_peers.sendToFirst(duty_lease::CANDIDATES, message_kind::usage_lease, lease); },
                          [this] { return m_peers.rank(); },
                          [this](const node_id &node) { return m_peers.hasLeft(node); }});
        m_peers.onMessage(message_kind::usage_counts, [this](const node_id &sender, const std::string &counts) { m_usage.applyCounts(sender, counts); });
        m_peers.onMessage(message_kind::usage_lease, [this](const node_id &, const std::string &lease) { m_usage.applyLease(lease); });
    }
    m_crashController.setFactPublisher([this](fact ownFact) { m_peers.publish(std::move(ownFact)); });
    applyBootSettings();
    m_storeSync.start(m_boot.firstStart);
    housekeeping();
}

std::optional<std::string> tier_process::listen()
{
    std::vector<std::pair<async_http_server *, std::string>> servers = {
        {&m_callerServer, m_boot.callerAddress},
        {&m_readyServer, m_boot.readyAddress},
        {&m_directoryServer, m_boot.directoryAddress},
    };
    if (m_settings.metricsPort != 0) {
        const std::string ip = m_boot.callerAddress.substr(0, m_boot.callerAddress.rfind(':'));
        servers.emplace_back(&m_metricsServer, ip + ":" + std::to_string(m_settings.metricsPort));
    }
    for (const auto &[server, address] : servers) {
        if (server->port() != 0) {
            continue; // An earlier attempt succeeded.
        }
        if (auto problem = server->listen(address)) {
            return problem;
        }
    }
    return std::nullopt;
}

void tier_process::answerReadinessCheck(http_exchange &exchange)
{
    if (!isReadinessCheck(exchange.request())) {
        exchange.respond(nodeAnswer(404, request_id(), "no_route", duration::zero()));
        return;
    }
    exchange.respond(nodeAnswer(m_board.ready() ? 200 : 503, request_id(), m_board.ready() ? "ready" : "not_ready", duration::zero()));
}

void tier_process::answerDirectoryLookup(http_exchange &exchange)
{
    if (!isDirectoryLookup(exchange.request())) {
        exchange.respond(nodeAnswer(404, request_id(), "no_route", duration::zero()));
        return;
    }
    std::vector<entry_node_candidate> candidates = m_peers.entryNodes();
    const bool reachesOthers = !m_board.servers.seemsIsolated(now());
    if (m_board.ready() && reachesOthers) {
        candidates.push_back({m_boot.callerAddress, m_boot.domain, m_boot.processorCores});
    }
    if (candidates.empty() && !reachesOthers) {
        // This node is partitioned from its peers and from the backend servers; callers may still reach the nodes on the other side of the partition.
        candidates = m_peers.unconfirmedEntryNodes();
    }
    if (candidates.empty() && m_board.ready()) {
        candidates.push_back({m_boot.callerAddress, m_boot.domain, m_boot.processorCores});
    }
    if (candidates.empty()) {
        logInfo("directory.empty", {{"ready", m_board.ready() ? "yes" : "no"}, {"peers", std::to_string(m_peers.livePeers())}});
        exchange.respond(nodeAnswer(503, request_id(), "no_node_ready", duration::zero()));
        return;
    }
    const duration timeToLive = std::min(m_settings.directoryTtl, m_boot.maxDirectoryTtl);
    exchange.respond(directoryAnswer(selectEntryNodes(candidates, m_board.servers.usableServerCountByDomain()), timeToLive));
}

void tier_process::answerMetrics(http_exchange &exchange)
{
    m_metrics.setGauge("backend_servers", static_cast<double>(m_board.servers.size()));
    m_metrics.setGauge("configuration_version", m_board.routes ? static_cast<double>(m_board.routes->configuration().version.value()) : 0);
    m_metrics.setGauge("live_peers", static_cast<double>(m_peers.livePeers()));
    m_metrics.setGauge("peer_probe_penalty", static_cast<double>(m_peers.probePenalty()));
    m_metrics.setGauge("caller_connections", static_cast<double>(m_callerServer.openConnections()));
    m_metrics.setGauge("connection_memory_bytes", static_cast<double>(m_connectionMemory->used()));
    m_metrics.setGauge("connections_closed_for_memory", static_cast<double>(connectionsClosedForMemory()));
    m_metrics.setGauge("connections_closed_for_number", static_cast<double>(m_callerServer.evictedCount()));
    m_metrics.setGauge("running_requests", static_cast<double>(m_callers.running()));
    m_metrics.setGauge("refused_crashing_requests", static_cast<double>(m_crashController.refusedRequests()));
    m_metrics.setGauge("running_moves", static_cast<double>(m_moveDriver.running()));
    if (m_usage.isWanted()) {
        m_metrics.setGauge("usage_lease_held", m_usage.isHolder() ? 1 : 0);
        m_metrics.setGauge("usage_reports_sent", static_cast<double>(m_usage.reportsSent()));
    }
    m_metrics.setGauge("store_calls", static_cast<double>(m_store.calls()));
    for (const auto &[kind, age] : m_storeSync.knowledgeAges()) {
        m_metrics.setGauge("store_age_seconds_" + kind, std::chrono::duration<double>(age).count());
    }
    m_metrics.setGauge("backend_connections_opened", static_cast<double>(m_client.connectionsOpened()));
    http_response_message answer = nodeAnswer(200, request_id(), "", duration::zero());
    answer.body() = m_metrics.text();
    exchange.respond(std::move(answer));
}

void tier_process::applyConfiguration(const site_configuration &configuration)
{
    async_server_limits &limits = m_callerLimits;
    limits.headerBytes = configuration.limits.maxHeaderBytes;
    limits.bodyBytes = configuration.limits.maxBodyBytes;
    limits.trailerBytes = configuration.limits.maxHeaderBytes;
    limits.headerTimeout = configuration.limits.headerTimeout;
    // Callers may still rely on the idle time-out of an earlier configuration version, so a running process never shortens it.
    m_idleTimeout = std::max(m_idleTimeout, configuration.limits.idleTimeout);
    limits.idleTimeout = m_idleTimeout;
    m_callerServer.setLimits(limits);
    m_metrics.setOrganisations(configuration.organisations.organisations());
    updateCredentialKnowledge();
    joinPeersIfReady();
}

void tier_process::applyMachineLimits()
{
    // Freed blocks of this size and more go back to the system at once; by default the allocator raises the bound when large blocks are freed, and keeps them.
    mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
    constexpr std::size_t MB = 1U << 20U;
    std::size_t memoryMb = m_settings.connectionMemoryMb;
    if (memoryMb == 0 && m_boot.memoryMb > 0) {
        memoryMb = std::max((m_boot.memoryMb - std::min(m_boot.memoryMb, BASE_MEMORY_MB)) / 2, MIN_CONNECTION_MEMORY_MB);
    }
    if (memoryMb > 0) {
        m_connectionMemory->setLimit(memoryMb * MB);
    }
    m_connectionMemory->onShort([this] { closeConnectionsIfShort(); });
    for (async_http_server *server : {&m_callerServer, &m_readyServer, &m_directoryServer, &m_metricsServer}) {
        server->setMemory(m_connectionMemory);
    }
    const connection_limits connections = connectionLimits(m_boot.descriptors, m_connectionMemory->limit(), RECEIVE_BUFFER_BYTES);
    m_callerLimits.connections = connections.callers;
    m_callerServer.setLimits(m_callerLimits);
    async_server_limits sideLimits;
    sideLimits.bodyBytes = SIDE_BODY_BYTES;
    sideLimits.connections = connections.other;
    for (async_http_server *server : {&m_readyServer, &m_directoryServer, &m_metricsServer}) {
        server->setLimits(sideLimits);
    }
}

void tier_process::closeConnectionsIfShort()
{
    if (std::exchange(m_shedPending, true)) {
        return;
    }
    // The charge that leaves the account short is made in the middle of a connection's work.
    boost::asio::post(m_loop, [this] {
        m_shedPending = false;
        for (async_http_server *server : {&m_callerServer, &m_readyServer, &m_directoryServer, &m_metricsServer}) {
            server->shedConnections();
        }
    });
}

std::uint64_t tier_process::connectionsClosedForMemory() const
{
    return m_callerServer.shedCount() + m_readyServer.shedCount() + m_directoryServer.shedCount() + m_metricsServer.shedCount();
}

void tier_process::logClosedConnections()
{
    const std::uint64_t closedForMemory = connectionsClosedForMemory();
    const std::uint64_t closed = closedForMemory + m_callerServer.evictedCount();
    if (closed == m_loggedClosedConnections || now() - m_closedConnectionsLoggedAt < CLOSED_CONNECTIONS_LOG_INTERVAL) {
        return;
    }
    m_loggedClosedConnections = closed;
    m_closedConnectionsLoggedAt = now();
    logWarning("connections.closed",
               {{"short_of_memory", std::to_string(closedForMemory)},
                {"too_many", std::to_string(m_callerServer.evictedCount())},
                {"memory_bytes", std::to_string(m_connectionMemory->used())},
                {"open", std::to_string(m_callerServer.openConnections())}});
}

void tier_process::handlePeerFact(const fact &peerFact)
{
    if (peerFact.kind == fact_kind::suspected_request) {
        m_crashController.applyPeerFact(peerFact);
    } else if (peerFact.kind == fact_kind::bad_version || peerFact.kind == fact_kind::approved_version) {
        m_moveDriver.applyPeerFact(peerFact);
    }
}

void tier_process::applyBootSettings()
{
    m_storeSync.setBounds(m_boot);
    updateLimitShares();
}

void tier_process::updateLimitShares()
{
    const bool joining = now() - m_startedAt < JOIN_PERIOD;
    const std::size_t nodes = std::max(m_peers.nodeCount(), joining ? m_registeredNodes : 0);
    m_board.servers.setNodeCount(nodes);
    m_moveDriver.setLimits({m_boot.canary.share, m_boot.canary.slack / static_cast<double>(nodes)});
    m_board.budget.setLimits({m_boot.retryRatio, m_boot.retrySlack, m_boot.retryWindow}, nodes);
}

void tier_process::updateCredentialKnowledge()
{
    m_board.credentialsAsOf = sinceBoot();
    m_board.credentials = {m_storeSync.knowledgeAge(store_kind::configuration), m_boot.changeBound, m_boot.revocationBound};
}

void tier_process::joinPeersIfReady()
{
    if (m_joined || !m_board.ready()) {
        return;
    }
    if (const auto problem = m_peers.start(m_boot.seedPeers)) {
        // Housekeeping tries again.
        if (!std::exchange(m_peerAddressFailed, true)) {
            logError("peers.not_joined", {{"reason", *problem}});
        }
        return;
    }
    m_joined = true;
    if (m_peerAddressFailed) {
        logInfo("peers.joined", {{"address", m_boot.peerAddress}});
    }
    m_nodeRegistration.start(m_boot.firstStart ? read_freshness::may_be_stale : read_freshness::newest);
    logInfo("node.ready", {{"config", std::to_string(m_board.routes->configuration().version.value())}, {"servers", std::to_string(m_board.servers.size())}});
}

void tier_process::waitForSignals()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload("signal");
        } else if (!m_board.stopping) {
            beginStop();
        }
        waitForSignals();
    });
}

void tier_process::reloadIfChanged()
{
    const time_point at = now();
    if (at - m_bootFileCheckedAt < BOOT_CHECK_INTERVAL) {
        return;
    }
    m_bootFileCheckedAt = at;
    if (modificationTime(m_settings.bootFile) != m_bootFileModifiedAt) {
        reload("changed");
    }
}

void tier_process::reload(std::string_view cause)
{
    m_bootFileModifiedAt = modificationTime(m_settings.bootFile);
    outcome<boot_settings> read = readBootSettings(m_settings.bootFile);
    if (!read) {
        logError("settings.not_reloaded", {{"cause", std::string(cause)}, {"reason", read.reason().message}});
        return;
    }
    m_boot = std::move(read).value();
    applyBootSettings();
    logInfo("settings.reloaded", {{"cause", std::string(cause)}, {"retry_ratio", std::to_string(m_boot.retryRatio)}});
}

void tier_process::housekeeping()
{
    if (const auto suspended = m_suspensions.check()) {
        logWarning("node.was_suspended", {{"ms", std::to_string(suspended->count() / 1000)}});
        m_storeSync.refresh();
    }
    m_storeSync.runDue(m_peers.livePeers() > 0 ? std::optional(m_peers.rank()) : std::nullopt);
    m_crashController.tick(now());
    m_moveDriver.runDue(now());
    if (m_joined) {
        m_usage.runDue();
    }
    reloadIfChanged();
    updateLimitShares();
    updateCredentialKnowledge();
    joinPeersIfReady();
    logClosedConnections();
    scheduleAfter(m_housekeepingTimer, HOUSEKEEPING_INTERVAL, &tier_process::housekeeping);
}

void tier_process::beginStop()
{
    logInfo("node.stopping", {{"running", std::to_string(m_callers.running())}, {"connections", std::to_string(m_callerServer.openConnections())}});
    m_board.stopping = true;
    if (!m_started) {
        m_loop.stop();
        return;
    }
    m_callerServer.closeAfterResponses();
    if (m_joined) {
        m_usage.stop();
        m_peers.announceDraining();
        m_nodeRegistration.remove();
    }
    scheduleAfter(m_stopTimer, std::max<duration>(m_boot.graceTime - ACCEPT_CUTOFF_BEFORE_KILL, duration::zero()), &tier_process::stopAcceptingCallers);
}

void tier_process::stopAcceptingCallers()
{
    m_callerServer.stopAccepting();
    m_callerServer.closeIdle();
    scheduleAfter(m_stopTimer, ACCEPT_CUTOFF_BEFORE_KILL - ANSWER_CUTOFF_BEFORE_KILL, &tier_process::answerAndExit);
}

void tier_process::answerAndExit()
{
    logInfo("node.last_answers", {{"running", std::to_string(m_callers.running())}});
    m_callers.endAll();
    if (m_joined) {
        m_peers.leave();
    }
    m_stopTimer.expires_after(RESPONSE_FLUSH_TIME);
    m_stopTimer.async_wait([this](const boost::system::error_code &) { m_loop.stop(); });
}

void tier_process::scheduleAfter(boost::asio::steady_timer &timer, duration pause, void (tier_process::*action)())
{
    timer.expires_after(pause);
    timer.async_wait([this, action](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            (this->*action)();
        }
    });
}

} // namespace snipefall
