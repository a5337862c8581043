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
#include "platform/boot_settings.h"
#include "platform/store_client.h"
#include "tier/caller_service.h"
#include "tier/crash_controller.h"
#include "tier/move_driver.h"
#include "tier/node_register.h"
#include "tier/peer_link.h"
#include "tier/site_controller.h"
#include "tier/suspension_detector.h"
#include "tier/tier_blackboard.h"
#include "tier/tier_metrics.h"
#include "tier/tier_settings.h"

namespace snipefall {

/** A node on the platform: one event loop with servers for callers, the platform's checks, the directory and metrics. */
class tier_process
{
public:
    tier_process(tier_settings settings, boot_settings boot);

    /** Serves until a planned stop is over. Returns why the start failed, or nothing. */
    std::optional<std::string> run();

private:
    std::optional<std::string> listen();
    void answerReady(http_exchange &exchange);
    void answerDirectory(http_exchange &exchange);
    void answerMetrics(http_exchange &exchange);
    void applyConfiguration(const site_configuration &configuration);
    void takeFact(const fact &news);
    void applyBoot();
    /** Divides the limits that all nodes keep together by the number of nodes. */
    void shareLimits();
    void joinPeersIfReady();
    void waitForSignals();
    void reload(std::string_view cause);
    void reloadIfChanged();
    void housekeeping();
    void beginStop();
    void endService();
    void endProcess();
    void after(boost::asio::steady_timer &timer, duration pause, void (tier_process::*action)());

    tier_settings m_settings;
    boot_settings m_boot;
    std::uint64_t m_seed;
    boost::asio::io_context m_loop;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_housekeepingTimer;
    boost::asio::steady_timer m_stopTimer;
    tier_metrics m_metrics;
    tier_blackboard m_board;
    store_client m_store;
    async_http_client m_client;
    move_driver m_moves;
    site_controller m_site;
    crash_controller m_crashes;
    caller_service m_callers;
    async_http_server m_callerServer;
    async_http_server m_readyServer;
    async_http_server m_directoryServer;
    async_http_server m_metricsServer;
    member m_self;
    peer_link m_peers;
    node_register m_register;
    suspension_detector m_suspensions;
    std::filesystem::file_time_type m_bootWritten; ///< When the settings file that is in force was written.
    time_point m_bootCheckedAt;
    duration m_idleTimeout{}; ///< The longest that callers may rely on; see applyConfiguration().
    std::size_t m_registeredNodes = 0;
    time_point m_startedAt;
    bool m_joined = false;
};

} // namespace snipefall
