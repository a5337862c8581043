#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "platform/boot_settings.h"
#include "tier/object_watcher.h"
#include "tier/store_retry_coordinator.h"

namespace snipefall {

struct site_configuration;
struct tier_blackboard;
struct version_move;
class move_driver;

/**
 * Keeps the blackboard in step with the platform's store: the configuration, the list of backend servers and the excluded failure domains. Passes orders of
 * version moves to the move_driver.
 */
class store_sync_controller
{
public:
    store_sync_controller(boost::asio::io_context &loop, store_client &store, tier_blackboard &board, move_driver &moves, const boot_settings &settings);

    /** Starts following the store. With @p firstStart, the first start of the whole system, the initial lists may be a few seconds old. */
    void start(bool firstStart);
    /** Applies the warm-up bounds of a changed settings file. */
    void setBounds(const boot_settings &settings);
    /** Reads all lists from the store again, because the known state may be outdated without a sign of it, for example after a suspension. */
    void refresh();
    /** For each kind of objects, the time since the start of the latest list of the newest state, or since @p start if there was none. */
    std::map<std::string, duration> timeSinceLists(time_point start);
    /** The highest store revision of all objects that this node has seen. */
    object_version newestRevision() const;
    /** Notes that a peer has seen the store revision @p newest. */
    void notePeerRevision(object_version newest);
    /**
     * Drops backend servers that the store has not listed again in time after an outage, and asks the store again for changes that a peer has seen and this
     * node still lacks.
     */
    void runDue();
    /** Sets the handler that is called with each configuration that comes into force. */
    void onConfiguration(std::function<void(const site_configuration &)> handler) { m_onConfiguration = std::move(handler); }

private:
    std::array<object_watcher *, 4> watchers() { return {&m_configuration, &m_backends, &m_domains, &m_moves}; }
    void rewatchIfBehind();
    void applyConfiguration(const stored_object &object);
    void applyBackend(const stored_object &object);
    void applyBackendListing(const object_listing &listing);
    void applyExcludedDomain(const std::string &name, bool excluded);
    static outcome<version_move> decodeMoveOrLog(const stored_object &object);
    void publishExcludedDomains();
    void publishServiceRules();

    tier_blackboard &m_board;
    move_driver &m_moveDriver;
    store_retry_coordinator m_retryCoordinator;
    object_watcher m_configuration;
    object_watcher m_backends;
    object_watcher m_domains;
    object_watcher m_moves;
    std::set<failure_domain_id> m_excludedDomains;
    object_version m_newestPeerRevision; ///< The highest store revision that any peer has reported.
    std::optional<time_point> m_behindSince; ///< Since when a peer has been ahead of this node, or when the store was last asked because of that.
    double m_warmUpOverrun = 1;
    double m_warmUpSlack = 0;
    std::function<void(const site_configuration &)> m_onConfiguration;
};

} // namespace snipefall
