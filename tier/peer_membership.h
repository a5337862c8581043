#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "peer/envelope_codec.h"
#include "peer/replay_guard.h"
#include "policy/entry_node_selection.h"
#include "policy/gossip_engine.h"

namespace snipefall {

/** Runs the gossip membership protocol for this node on its event loop: exchanges UDP datagrams with peers, tracks live nodes and distributes facts. */
class peer_membership
{
public:
    /** @p clusterName keeps datagrams from nodes of other deployments out; @p cores is the number of processor cores available to this node. */
    peer_membership(boost::asio::io_context &loop, member self, double cores, const std::string &clusterName, std::uint64_t seed);

    /** Binds the node's peer address and joins via @p seeds, the peer addresses of other nodes; returns the reason if binding failed, nothing otherwise. */
    std::optional<std::string> start(const std::vector<std::string> &seeds);
    /** Sets the peer addresses of the nodes that are registered in the platform's store. */
    void setAddressHints(std::vector<std::string> addresses);
    /** Publishes that this node is draining, so that the directories of other nodes no longer name it to callers. */
    void announceDraining();
    /** Tells the peers that this node leaves, so that they need not detect its failure. */
    void leave();

    /** Sends a message to the live nodes among the first @p count by id, except this one. It may be lost. */
    void sendToFirst(std::size_t count, message_kind kind, const std::string &payload);
    /** Sends a message to up to @p count random live nodes. It may be lost. */
    void sendToRandom(std::size_t count, message_kind kind, const std::string &payload);
    /** Sets the handler that is called with each message of the kind from a peer. */
    void onMessage(message_kind kind, std::function<void(const node_id &, const std::string &)> handler) { m_onMessage[kind] = std::move(handler); }
    /** Publishes a fact to all nodes; see fact_table. */
    void publish(fact item);
    /** All unexpired facts of a kind, including those of this node. */
    std::vector<fact> facts(fact_kind kind) const;
    /** The number of live nodes whose ids sort before this node's. */
    std::size_t rank() const;
    /** Whether the node was found dead or has left while others of the cluster are live; false if it was never seen. */
    bool hasLeft(const node_id &id) const;
    /** Sets the handler that is called with each new fact of a peer. */
    void onFact(std::function<void(const fact &)> handler) { m_onFact = std::move(handler); }

    /** Sets a function that returns when the store or a backend server last answered this node; see membership::noteOutsideAnswer(). */
    void setOutsideAnswers(std::function<time_point()> lastAnswerAt) { m_lastOutsideAnswerAt = std::move(lastAnswerAt); }

    /** Other nodes that accept callers and are alive by the membership protocol. */
    std::vector<entry_node_candidate> entryNodes() const;
    /** Nodes that are suspected or were declared dead a short time ago: they may still run on the other side of a network partition. */
    std::vector<entry_node_candidate> unconfirmedEntryNodes() const;
    /** The number of nodes that may be sending requests to backend servers, including this one and nodes that were live a short time ago. */
    std::size_t nodeCount() const;
    /** By how many intervals each probe is slowed down because failed ones may have had their cause in this node. */
    int probePenalty() const { return m_engine.nodes().healthPenalty(); }
    std::size_t livePeers() const { return m_engine.nodes().others().live().size(); }

private:
    std::vector<entry_node_candidate> collectEntries(bool unconfirmed) const;
    void publishCapacity();
    void receive();
    void handleDatagram(const std::string &from, std::string_view bytes);
    void tick();
    void send(const std::vector<outgoing_gossip> &datagrams);
    void sendDatagram(const std::string &address, const node_id &recipient, message_kind kind, std::string payload);
    void handleEvents();

    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    member m_self;
    double m_cores;
    time_point m_capacityPublishedAt;
    envelope_codec m_codec;
    replay_guard m_guard;
    gossip_engine m_engine;
    std::mt19937_64 m_random;
    std::map<node_id, time_point> m_lastLive; ///< When each node was last live; recent ones only.
    std::function<void(const fact &)> m_onFact;
    std::function<time_point()> m_lastOutsideAnswerAt;
    std::map<message_kind, std::function<void(const node_id &, const std::string &)>> m_onMessage;
    std::array<char, envelope_codec::MAX_DATAGRAM_BYTES + 1> m_buffer{};
    boost::asio::ip::udp::endpoint m_sender;
};

} // namespace snipefall
