#pragma once

#include <filesystem>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/async_http_client.h"
#include "http/async_http_server.h"
#include "http/memory_account.h"
#include "platform/boot_settings.h"
#include "platform/store_client.h"
#include "tier/caller_service.h"
#include "tier/crash_controller.h"
#include "tier/move_driver.h"
#include "tier/node_registration.h"
#include "tier/peer_membership.h"
#include "tier/store_sync_controller.h"
#include "tier/suspension_detector.h"
#include "tier/tier_blackboard.h"
#include "tier/tier_metrics.h"
#include "tier/tier_settings.h"
#include "tier/usage_reporter.h"

namespace snipefall {

/** A node on the platform: one event loop with HTTP servers for callers, the platform's readiness checks, the directory and metrics. */
class tier_process
{
public:
    tier_process(tier_settings settings, boot_settings boot);

    /** Serves until a graceful shutdown completes. Returns the reason if a server can't listen, nothing otherwise. */
    std::optional<std::string> run();

private:
    std::optional<std::string> listen();
    /** Starts the node once it can listen on its addresses; tries again for a limited time and then ends the event loop with m_startProblem. */
    void start();
    void answerReadinessCheck(http_exchange &exchange);
    void answerDirectoryLookup(http_exchange &exchange);
    void answerMetrics(http_exchange &exchange);
    void applyConfiguration(const site_configuration &configuration);
    void handlePeerFact(const fact &peerFact);
    void applyBootSettings();
    /** Divides the limits that hold for all nodes together by the current number of nodes. */
    void updateLimitShares();
    void updateCredentialKnowledge();
    void joinPeersIfReady();
    void waitForSignals();
    void reload(std::string_view cause);
    void reloadIfChanged();
    /** Derives the limits on memory and connections from those of the machine. */
    void applyMachineLimits();
    void closeConnectionsIfShort();
    std::uint64_t connectionsClosedForMemory() const;
    void logClosedConnections();
    void housekeeping();
    void beginStop();
    void stopAcceptingCallers();
    void answerAndExit();
    void scheduleAfter(boost::asio::steady_timer &timer, duration pause, void (tier_process::*action)());

    tier_settings m_settings;
    boot_settings m_boot;
    std::uint64_t m_seed;
    boost::asio::io_context m_loop;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_housekeepingTimer;
    boost::asio::steady_timer m_stopTimer;
    boost::asio::steady_timer m_startTimer;
    tier_metrics m_metrics;
    tier_blackboard m_board;
    std::shared_ptr<memory_account> m_connectionMemory;
    store_client m_store;
    async_http_client m_client;
    move_driver m_moveDriver;
    store_sync_controller m_storeSync;
    crash_controller m_crashController;
    member m_self;
    usage_reporter m_usage;
    caller_service m_callers;
    async_http_server m_callerServer;
    async_http_server m_readyServer;
    async_http_server m_directoryServer;
    async_http_server m_metricsServer;
    peer_membership m_peers;
    node_registration m_nodeRegistration;
    suspension_detector m_suspensions;
    std::filesystem::file_time_type m_bootFileModifiedAt; ///< Modification time of the settings file at the last attempt to read it.
    time_point m_bootFileCheckedAt;
    async_server_limits m_callerLimits;
    std::uint64_t m_loggedClosedConnections = 0;
    time_point m_closedConnectionsLoggedAt;
    bool m_shedPending = false; ///< Connections are about to be closed for want of memory.
    duration m_idleTimeout{}; ///< The longest idle time-out of any configuration in this run; see applyConfiguration().
    std::size_t m_registeredNodes = 0;
    time_point m_startedAt;
    bool m_joined = false;
    bool m_started = false; ///< Whether the node has all of its listen addresses; see start().
    bool m_listenFailed = false; ///< Whether an attempt to listen failed.
    std::optional<std::string> m_startProblem;
    bool m_peerAddressFailed = false; ///< Whether an attempt to bind the peer address failed.
};

} // namespace snipefall
