#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/outcome.h"
#include "node/peer_messages.h"
#include "peer/exchange_handler.h"
#include "policy/cluster_view.h"
#include "policy/fact.h"
#include "policy/member.h"
#include "policy/placement_member.h"

namespace snipefall {

class configuration_controller;
class configuration_replica;
class gossip_service;
struct gossip_service_settings;
struct node_settings;

/** Communicates with the other nodes: tracks members, publishes and receives facts, and pulls newer configurations from peers. */
class peer_controller
{
public:
    using fact_callback = std::function<void(const fact &)>;

    peer_controller(const node_settings &settings, incarnation ownIncarnation, const configuration_replica &replica, configuration_controller &configurations);
    ~peer_controller();

    /** Registers the handler for a kind of exchange. Must be called before start(). */
    void registerHandler(peer_exchange_kind kind, exchange_handler handler);
    void onFact(fact_callback callback) { m_onFact = std::move(callback); }
    /** Loads the peer keys and starts to listen. Returns an empty string, or the reason why the node can't start. */
    std::string start();
    void stop();

    /** Pulls configurations from peers that have a newer version. Must run on a controller thread, because an exchange blocks until the peer answers. */
    void pullConfigurations();
    /** Sets the callback for a peer that has a newer configuration; it wakes the thread that runs pullConfigurations(). */
    void onPullNeeded(std::function<void()> wake) { m_wakePull = std::move(wake); }

    /**
     * Announces to peers the configuration version that took effect on this node.
     *
     * If this node @p committed the version, also publishes a fact, so that peers learn of it at once.
     */
    void announceConfiguration(config_version version, bool committed);
    /** Publishes a fact to all nodes by gossip; a failure is only logged. */
    void publish(fact newFact);

    /** Sends a request to a node and waits for the payload of its response. Fails with unavailable if the node is not a known member. */
    outcome<std::string> exchange(const node_id &recipient, peer_exchange_kind kind, std::string payload, duration timeout);

    /** All known members, this node included. */
    std::vector<member> members() const;
    /** Returns the live nodes as input for placement; draining nodes have weight 0. */
    std::vector<placement_member> placementMembers() const;
    /** Returns a number that changes whenever the result of placementMembers() changes. */
    std::uint64_t placementVersion() const;
    /** Returns the live nodes, and the nodes that are known to be deprovisioned because the VM list lacks them. */
    std::shared_ptr<const cluster_view> clusterView() const;
    /** Sets the node ids in the platform's VM list, which determine cluster_view::deprovisioned. */
    void setListedNodes(std::set<node_id> listed);

    /** Whether this node is one of the few nodes of its failure domain that read the platform's configuration at the short interval. */
    bool watchesPlatform() const;

private:
    struct pull_target
    {
        std::string address;
        config_version version;
    };

    gossip_service_settings makeGossipSettings() const;
    outcome<std::string> handlePull(const std::string &payload) const;
    void queuePull(const std::string &address, config_version version);
    void handleFact(const fact &newFact);
    std::optional<member> memberAt(const std::string &address) const;

    const node_settings &m_settings;
    const incarnation m_incarnation;
    const configuration_replica &m_replica;
    configuration_controller &m_configurations;
    std::unique_ptr<gossip_service> m_gossip;
    std::vector<std::pair<peer_exchange_kind, exchange_handler>> m_handlers;
    fact_callback m_onFact;
    std::function<void()> m_wakePull;
    mutable std::mutex m_mutex;
    std::deque<pull_target> m_pulls;
    std::set<node_id> m_listedNodes;
};

} // namespace snipefall
