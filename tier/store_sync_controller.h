#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "platform/boot_settings.h"
#include "policy/freshness_monitor.h"
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
    store_sync_controller(
        boost::asio::io_context &loop, store_client &store, tier_blackboard &board, move_driver &moves, const boot_settings &settings, run_number run);

    /** Starts following the store. With @p firstStart, the first start of the whole system, the initial lists may be a few seconds old. */
    void start(bool firstStart);
    /** Applies the bounds of a changed settings file. */
    void setBounds(const boot_settings &settings);
    /** Reads all lists from the store again, because the known state may be outdated without a sign of it, for example after a suspension. */
    void refresh();
    /**
     * Reads all lists after the store came back from an older copy. What the copy lacks is kept for a limited time, in which its writers write it again: the
     * operator's orders, and the entries of backend servers.
     */
    void handleStoreRestored();
    /** For each kind of objects, the time since the latest moment at which the knowledge of it was proved to be complete. */
    std::map<std::string, duration> knowledgeAges() const;
    /** As knowledgeAges(), for one kind. */
    duration knowledgeAge(store_kind kind) const;
    /** Handles a peer's message about its read of the store; returns true if the message has to be passed on to other nodes. */
    bool applyPeerRead(const std::string &message);
    /** Sets the handler that sends a message about this node's read of the store to some peers. */
    void setReadPublisher(std::function<void(const std::string &)> publish) { m_publishRead = std::move(publish); }
    /**
     * Drops backend servers that the store has not listed again in time after an outage, and reads the newest state of the store before the known one is too
     * old. @p rank is the number of live nodes whose ids sort before this node's, nothing if no other node is known.
     */
    void runDue(std::optional<std::size_t> rank);
    /** Sets the handler that is called with each configuration that comes into force. */
    void onConfiguration(std::function<void(const site_configuration &)> handler) { m_onConfiguration = std::move(handler); }

private:
    using watcher_list = std::array<object_watcher *, STORE_KINDS.size()>;

    /** In the order of STORE_KINDS. */
    watcher_list watchers() { return {&m_configuration, &m_backends, &m_domains, &m_moves}; }
    object_watcher &watcher(store_kind kind) { return *watchers()[static_cast<std::size_t>(kind)]; }
    std::function<void(bool)> reachabilityHandler(store_kind kind);
    std::function<void(time_point, store_position)> readHandler(store_kind kind);
    void noteNewestRead(store_kind kind, time_point begun, store_position storeRevision);
    void beginRound();
    void publishReadIfComplete();
    void catchUpWithPeers();
    void logOverdueKnowledge();
    void applyConfiguration(const stored_object &object);
    void applyBackend(const stored_object &object);
    void applyBackendListing(const object_listing &listing);
    void applyExcludedDomain(const std::string &name, bool excluded);
    static outcome<version_move> decodeMoveOrLog(const stored_object &object);
    void replaceExcludedDomains(const object_listing &listing);
    /** Drops the excluded domains that were kept after a restore and have not been listed again in time. */
    void dropUnlistedDomains();
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
    std::set<failure_domain_id> m_unlistedDomains; ///< Those of the excluded domains that the restored store doesn't list.
    time_point m_keepUnlistedUntil{};
    freshness_monitor m_freshness;
    run_number m_run;
    store_era m_peerEra; ///< The newest era of the store that a peer has told of.
    std::uint64_t m_readNumber = 0; ///< Of the last read that was published.
    std::set<store_kind> m_overdue; ///< Kinds whose knowledge is older than the bound.
    std::function<void(const std::string &)> m_publishRead = [](const std::string &) {};
    double m_warmUpOverrun = 1;
    double m_warmUpSlack = 0;
    std::function<void(const site_configuration &)> m_onConfiguration;
};

} // namespace snipefall
