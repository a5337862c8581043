#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "peer/envelope_codec.h"
#include "peer/replay_guard.h"
#include "policy/entry_choice.h"
#include "policy/gossip_engine.h"

namespace snipefall {

/** This node's part in the membership protocol, on the event loop of the node. */
class peer_link
{
public:
    /** @p clusterName keeps nodes of other deployments apart; @p cores is this node's share of processor cores. */
    peer_link(boost::asio::io_context &loop, member self, double cores, const std::string &clusterName, std::uint64_t seed);

    /** Binds the node's peer address; returns why that failed, or nothing. */
    std::optional<std::string> start(const std::vector<std::string> &seeds);
    /** Addresses of nodes that the platform's store lists. */
    void setHints(std::vector<std::string> addresses);
    /** Tells the others that callers are to be sent elsewhere. */
    void announceStop();
    /** Tells the others that this node is gone. */
    void leave();

    /** Tells the others the newest change of the store that this node knows. */
    void setNewestChange(object_version revision) { m_engine.setConfigVersion(config_version(revision.value())); }
    /** Tells all nodes something; see fact_table. */
    void publish(fact item);
    /** All facts of a kind that hold, this node's included. */
    std::vector<fact> facts(fact_kind kind) const;
    /** The number of live nodes whose ids come before this node's. */
    std::size_t rank() const;
    /** Called with what peers published. */
    void onFact(std::function<void(const fact &)> handler) { m_onFact = std::move(handler); }
    /** Called when a peer knows a newer change. */
    void onPeerAhead(std::function<void(object_version)> handler) { m_onPeerAhead = std::move(handler); }

    /** Nodes besides this one that take callers and answer probes. */
    std::vector<entry_candidate> entries() const;
    /** Nodes that did not answer a probe or were lost a short time ago: they may live behind a cut that this node can't look through. */
    std::vector<entry_candidate> doubtfulEntries() const;
    /** Nodes that may be sending to backend servers, this one included; nodes that were lost a short time ago count as well. */
    std::size_t nodeCount() const;
    std::size_t livePeers() const { return m_engine.nodes().others().live().size(); }

private:
    std::vector<entry_candidate> entriesWhere(bool doubtful) const;
    void announceCapacity();
    void receive();
    void handle(const std::string &from, std::string_view bytes);
    void tick();
    void send(const std::vector<outgoing_gossip> &datagrams);
    void takeEvents();

    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    member m_self;
    double m_cores;
    time_point m_capacityAnnounced;
    envelope_codec m_codec;
    replay_guard m_guard;
    gossip_engine m_engine;
    std::map<node_id, time_point> m_lastLive;
    std::function<void(object_version)> m_onPeerAhead;
    std::function<void(const fact &)> m_onFact;
    std::array<char, envelope_codec::MAX_DATAGRAM_BYTES + 1> m_buffer{};
    boost::asio::ip::udp::endpoint m_sender;
};

} // namespace snipefall
