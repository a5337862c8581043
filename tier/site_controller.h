#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "platform/boot_settings.h"
#include "tier/object_follower.h"
#include "tier/store_search.h"

namespace snipefall {

struct site_configuration;
struct tier_blackboard;
struct version_move;
class move_driver;

/** Keeps the blackboard's picture of the site: the configuration, the backend servers and the failure domains that are taken out; passes orders of moves on. */
class site_controller
{
public:
    site_controller(boost::asio::io_context &loop, store_client &store, tier_blackboard &board, move_driver &moves, const boot_settings &settings);

    /** In the first start of the whole system a list that is a little old will do. */
    void start(bool firstStart);
    /** Applies bounds that have changed. */
    void setBounds(const boot_settings &settings);
    /** Reads everything anew, because what is known may be older than it seems. */
    void refresh();
    /** The revision of the newest change in the store that this node knows. */
    object_version newestChange() const;
    /** A peer knows the change @p newest. */
    void peerKnows(object_version newest);
    /** Drops backend servers whose time to be listed again is over, and asks the store for news that peers have and this node still lacks. */
    void runDue();
    /** Called with each configuration that comes into force. */
    void onConfiguration(std::function<void(const site_configuration &)> handler) { m_onConfiguration = std::move(handler); }

private:
    std::array<object_follower *, 4> followers() { return {&m_configuration, &m_backends, &m_domains, &m_moves}; }
    void askAgainIfBehind();
    void applyConfiguration(const stored_object &object);
    void applyBackend(const stored_object &object);
    void applyBackends(const object_listing &listing);
    void applyExcludedDomain(const std::string &name, bool excluded);
    static outcome<version_move> readMove(const stored_object &object);
    void publishExcludedDomains();
    void publishServiceRules();

    tier_blackboard &m_board;
    move_driver &m_moveDriver;
    store_search m_search;
    object_follower m_configuration;
    object_follower m_backends;
    object_follower m_domains;
    object_follower m_moves;
    std::set<failure_domain_id> m_excludedDomains;
    object_version m_peersNewest; ///< The newest change that a peer knows.
    std::optional<time_point> m_behindSince; ///< Since when a peer has known more than this node.
    double m_warmUpOverrun = 1;
    double m_warmUpSlack = 0;
    std::function<void(const site_configuration &)> m_onConfiguration;
};

} // namespace snipefall
