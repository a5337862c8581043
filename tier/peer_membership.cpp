#include "tier/peer_membership.h"

#include <algorithm>
#include <cstdlib>

#include <boost/asio/buffer.hpp>

#include "core/crypto.h"
#include "core/logger.h"
#include "http/endpoint_text.h"
#include "peer/generated/peer_messages_types.h"
#include "peer/gossip_codec.h"
#include "tier/loop_clock.h"

namespace snipefall {

namespace {

/** Resolution of the protocol's timers. */
constexpr duration TICK_INTERVAL = std::chrono::milliseconds(100);
/** Datagrams are refused if their sender's clock differs from this node's by more than this. */
constexpr std::uint64_t MAX_CLOCK_SKEW_MS = 300000;
/** A node still counts for this time after it was last live, because it may be sending requests from the other side of a network partition. */
constexpr duration LOST_NODE_RETENTION = std::chrono::seconds(15);
constexpr duration DRAINING_LIFETIME = std::chrono::seconds(30);
constexpr char DRAINING_PREFIX[] = "draining/";
constexpr duration CAPACITY_LIFETIME = std::chrono::hours(2);
constexpr duration CAPACITY_INTERVAL = std::chrono::hours(1);
constexpr char CAPACITY_PREFIX[] = "capacity/";

envelope_settings envelopeSettings(const member &self, const std::string &clusterName)
{
    // The platform provides no secret. The key is derived from the cluster name and only rejects stray datagrams from other deployments; it doesn't protect
    // against an attacker on the network.
    return {self.id, self.started, {peer_key{"cluster", sha256Hex(clusterName)}}, MAX_CLOCK_SKEW_MS};
}

} // namespace

peer_membership::peer_membership(boost::asio::io_context &loop, member self, double cores, const std::string &clusterName, std::uint64_t seed)
    : m_socket(loop)
    , m_timer(loop)
    , m_self(std::move(self))
    , m_cores(cores)
    , m_codec(envelopeSettings(m_self, clusterName))
    , m_guard(2 * MAX_CLOCK_SKEW_MS)
    , m_engine(gossip_settings(), m_self, seed)
    , m_random(seed)
{
}

std::optional<std::string> peer_membership::start(const std::vector<std::string> &seeds)
{
    const auto address = parseEndpoint(m_self.peerAddress);
    if (!address) {
        return "invalid peer address: " + m_self.peerAddress;
    }
    const boost::asio::ip::udp::endpoint endpoint(address->address(), address->port());
    boost::system::error_code error;
    m_socket.open(endpoint.protocol(), error);
    if (!error) {
        m_socket.bind(endpoint, error);
    }
    if (error) {
        boost::system::error_code ignored; // Nothing was sent yet.
        m_socket.close(ignored);
        return "can't bind peer address " + m_self.peerAddress + ": " + error.message();
    }
    m_socket.non_blocking(true);
    m_engine.nodes().setSeeds(seeds);
    receive();
    publishCapacity();
    tick();
    return std::nullopt;
}

void peer_membership::setAddressHints(std::vector<std::string> addresses)
{
    std::erase(addresses, m_self.peerAddress);
    m_engine.nodes().setAddressHints(std::move(addresses));
}

void peer_membership::announceDraining()
{
    publish(makeFact(fact_kind::draining_node, DRAINING_PREFIX + m_self.id.str(), m_self.id.str(), DRAINING_LIFETIME));
}

void peer_membership::publishCapacity()
{
    m_capacityPublishedAt = now();
    const std::string millicores = std::to_string(static_cast<long>(m_cores * 1000));
    publish(makeFact(fact_kind::node_capacity, CAPACITY_PREFIX + m_self.id.str(), m_self.id.str() + "=" + millicores, CAPACITY_LIFETIME));
}

void peer_membership::publish(fact item)
{
    const std::string key = item.key;
    if (const auto published = m_engine.publish(now(), std::move(item)); !published) {
        logWarning("peers.fact_not_published", {{"key", key}, {"reason", published.reason().message}});
        return;
    }
    send(m_engine.flushBroadcasts(now()));
}

void peer_membership::leave()
{
    send(m_engine.leave(now()));
}

std::vector<entry_node_candidate> peer_membership::entryNodes() const
{
    return collectEntries(false);
}

std::vector<entry_node_candidate> peer_membership::unconfirmedEntryNodes() const
{
    return collectEntries(true);
}

std::vector<entry_node_candidate> peer_membership::collectEntries(bool unconfirmed) const
{
    std::map<node_id, incarnation> draining;
    std::map<node_id, double> cores;
    for (const fact &item : facts(fact_kind::draining_node)) {
        draining[node_id(item.payload)] = item.originIncarnation;
    }
    for (const fact &item : facts(fact_kind::node_capacity)) {
        const std::size_t equals = item.payload.rfind('=');
        if (equals != std::string::npos) {
            cores[node_id(item.payload.substr(0, equals))] = std::strtod(item.payload.c_str() + equals + 1, nullptr) / 1000;
        }
    }
    std::vector<entry_node_candidate> result;
    for (const auto &[id, lastLive] : m_lastLive) {
        const member *peer = m_engine.nodes().others().find(id);
        const auto stopping = draining.find(id);
        if (!peer || peer->callerAddress.empty() || peer->state == member_state::left || (peer->state != member_state::alive) != unconfirmed) {
            continue;
        }
        // A draining fact from before the node's last restart no longer applies.
        if (stopping != draining.end() && stopping->second >= peer->firstStarted()) {
            continue;
        }
        const auto capacity = cores.find(id);
        result.push_back({peer->callerAddress, peer->domain, capacity == cores.end() ? 0 : capacity->second});
    }
    return result;
}

std::size_t peer_membership::nodeCount() const
{
    const time_point at = now();
    const auto recent = std::count_if(m_lastLive.begin(), m_lastLive.end(), [at](const auto &item) { return at - item.second < LOST_NODE_RETENTION; });
    return static_cast<std::size_t>(recent) + 1;
}

std::vector<fact> peer_membership::facts(fact_kind kind) const
{
    return m_engine.facts().ofKind(now(), kind);
}

std::size_t peer_membership::rank() const
{
    const auto &live = m_engine.nodes().others().live();
    return static_cast<std::size_t>(std::count_if(live.begin(), live.end(), [this](const node_id &id) { return id < m_self.id; }));
}

bool peer_membership::hasLeft(const node_id &id) const
{
    const member *peer = m_engine.nodes().others().find(id);
    // A node that sees no other one is probably cut off itself.
    return peer && (peer->state == member_state::dead || peer->state == member_state::left) && livePeers() > 0;
}

void peer_membership::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender, [this](const boost::system::error_code &error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            handleDatagram(m_sender.address().to_string() + ":" + std::to_string(m_sender.port()), std::string_view(m_buffer.data(), size));
        }
        receive();
    });
}

void peer_membership::handleDatagram(const std::string &from, std::string_view bytes)
{
    peer_messages::envelope envelope;
    refusal_reason reason = refusal_reason::malformed;
    std::optional<peer_message> message;
    if (bytes.size() <= envelope_codec::MAX_DATAGRAM_BYTES && envelope_codec::decode(bytes, envelope)) {
        message = m_codec.open(envelope, from, wallClockMs(), &m_guard, reason);
    }
    if (const auto handler = message ? m_onMessage.find(message->kind) : m_onMessage.end(); handler != m_onMessage.end()) {
        handler->second(message->sender, message->payload);
        return;
    }
    const auto gossip = message && message->kind == message_kind::gossip ? decodeGossip(message->payload) : std::nullopt;
    if (!gossip) {
        logWarning("peers.datagram_refused", {{"from", from}, {"reason", toString(reason)}});
        return;
    }
    send(m_engine.receive(now(), message->sender, from, *gossip));
    handleEvents();
}

void peer_membership::tick()
{
    const time_point at = now();
    if (m_lastOutsideAnswerAt) {
        m_engine.nodes().noteOutsideAnswer(m_lastOutsideAnswerAt());
    }
    send(m_engine.tick(at));
    handleEvents();
    for (const node_id &id : m_engine.nodes().others().live()) {
        m_lastLive[id] = at;
    }
    if (at - m_capacityPublishedAt >= CAPACITY_INTERVAL) {
        publishCapacity();
    }
    std::erase_if(m_lastLive, [at](const auto &item) { return at - item.second >= LOST_NODE_RETENTION; });
    m_timer.expires_after(TICK_INTERVAL);
    m_timer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            tick();
        }
    });
}

void peer_membership::send(const std::vector<outgoing_gossip> &datagrams)
{
    for (const outgoing_gossip &datagram : datagrams) {
        sendDatagram(datagram.address, datagram.recipient, message_kind::gossip, encodeGossip(datagram.message));
    }
}

void peer_membership::sendDatagram(const std::string &address, const node_id &recipient, message_kind kind, std::string payload)
{
    const auto to = parseEndpoint(address);
    const std::string bytes = envelope_codec::encode(m_codec.seal(kind, recipient, std::move(payload)));
    if (!to || bytes.size() > envelope_codec::MAX_DATAGRAM_BYTES) {
        logError("peers.datagram_not_sent", {{"address", address}, {"bytes", std::to_string(bytes.size())}});
        return;
    }
    boost::system::error_code ignored; // A datagram that can't be sent counts as lost; the protocol repeats the messages that matter.
    m_socket.send_to(boost::asio::buffer(bytes), boost::asio::ip::udp::endpoint(to->address(), to->port()), 0, ignored);
}

void peer_membership::sendToFirst(std::size_t count, message_kind kind, const std::string &payload)
{
    std::vector<node_id> nodes = m_engine.nodes().others().live();
    nodes.push_back(m_self.id);
    const auto end = nodes.begin() + static_cast<std::ptrdiff_t>(std::min(count, nodes.size()));
    std::partial_sort(nodes.begin(), end, nodes.end());
    for (auto id = nodes.begin(); id != end; ++id) {
        const member *peer = m_engine.nodes().others().find(*id);
        if (peer) {
            sendDatagram(peer->peerAddress, *id, kind, payload);
        }
    }
}

void peer_membership::sendToRandom(std::size_t count, message_kind kind, const std::string &payload)
{
    std::vector<node_id> recipients;
    const auto &live = m_engine.nodes().others().live();
    std::sample(live.begin(), live.end(), std::back_inserter(recipients), count, m_random);
    for (const node_id &id : recipients) {
        if (const member *peer = m_engine.nodes().others().find(id)) {
            sendDatagram(peer->peerAddress, id, kind, payload);
        }
    }
}

void peer_membership::handleEvents()
{
    const gossip_events events = m_engine.takeEvents();
    for (const fact &item : events.facts) {
        if (m_onFact) {
            m_onFact(item);
        }
    }
    for (const probe_failure &probe : events.failedProbes) {
        logInfo("peers.probe_failed",
                {{"member", probe.target.str()},
                 {"relay_requests", std::to_string(probe.relayRequests)},
                 {"relay_answers", std::to_string(probe.relayAnswers)},
                 {"penalty", std::to_string(probe.healthPenalty)}});
    }
    for (const member_event &event : events.members) {
        logInfo("peers.member_changed",
                {{"change", toString(event.kind)},
                 {"member", event.subject.id.str()},
                 {"address", event.subject.peerAddress},
                 {"incarnation", std::to_string(event.subject.started.value())},
                 {"live", std::to_string(livePeers())}});
    }
}

} // namespace snipefall
