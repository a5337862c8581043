#include "peer/gossip_service.h"

#include <algorithm>
#include <random>

#include "core/logger.h"
#include "peer/generated/peer_messages_types.h"
#include "peer/gossip_codec.h"

namespace snipefall {

namespace {

/** Longest wait for a datagram before the timers of the gossip engine run; this is their resolution. */
constexpr duration TICK_INTERVAL = std::chrono::milliseconds(50);
/** Maximum number of datagrams handled before the timers of the gossip engine run again. */
constexpr int MAX_DATAGRAMS_PER_TICK = 256;
/** Attempts to bind a port that is free for both UDP and TCP when the configured port is 0. */
constexpr int BIND_ATTEMPTS = 20;

std::uint64_t randomSeed(std::uint64_t configured)
{
    if (configured != 0) {
        return configured;
    }
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

gossip_service::gossip_service(gossip_service_settings settings, gossip_callbacks callbacks)
    : m_settings(std::move(settings))
    , m_callbacks(std::move(callbacks))
    , m_codec(envelope_settings{m_settings.self.id, m_settings.self.started, m_settings.keys, m_settings.maxClockSkewMs})
    , m_guard(2 * m_settings.maxClockSkewMs)
    , m_udp(envelope_codec::MAX_DATAGRAM_BYTES)
    , m_client(m_codec, m_settings.exchange, m_refusals)
{
}

gossip_service::~gossip_service()
{
    stop();
}

void gossip_service::registerHandler(message_kind kind, exchange_handler handler)
{
    m_handlers[kind] = std::move(handler);
}

std::optional<failure> gossip_service::start()
{
    if (auto invalid = m_codec.invalidSettings()) {
        return invalid;
    }
    if (!isValid(m_settings.self)) {
        return failure{error_code::invalid_argument, "ids and domains have at most 48 bytes, and addresses are \"ip:port\""};
    }
    const auto allowed = allowed_peers::parse(m_settings.allowedPeers);
    if (!allowed) {
        return allowed.reason();
    }
    m_allowed = allowed.value();
    if (auto failed = bindSockets()) {
        return failed;
    }
    m_engine.emplace(m_settings.gossip, m_settings.self, randomSeed(m_settings.randomSeed));
    m_engine->nodes().setSeeds(m_settings.seeds);
    m_stopping = false;
    m_thread = std::thread([this] { run(); });
    return std::nullopt;
}

std::optional<failure> gossip_service::bindSockets()
{
    const auto configuredAddress = socket_address::parse(m_settings.self.peerAddress);
    if (!configuredAddress) {
        return failure{error_code::invalid_argument, "not an address: " + m_settings.self.peerAddress};
    }
    std::optional<failure> failed;
    for (int attempt = 0; attempt < (configuredAddress->port == 0 ? BIND_ATTEMPTS : 1); ++attempt) {
        const auto bound = m_udp.bind(*configuredAddress);
        if (!bound) {
            return bound.reason();
        }
        m_server = std::make_unique<exchange_server>(m_codec, m_allowed, m_settings.exchange, m_refusals);
        for (const auto &[kind, handler] : m_handlers) {
            m_server->registerHandler(kind, handler);
        }
        failed = m_server->start(bound.value());
        if (!failed) {
            m_settings.self.peerAddress = bound->toString();
            return std::nullopt;
        }
    }
    return failed;
}

void gossip_service::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    m_stopping = true;
    m_thread.join();
    {
        const std::lock_guard lock(m_mutex);
        send(m_engine->leave(m_clock.now()));
        updatePlacementVersion();
    }
    m_server->stop();
    m_udp.close();
}

void gossip_service::run()
{
    while (!m_stopping) {
        auto datagram = m_udp.receive(TICK_INTERVAL);
        // Reads the queued datagrams before the timers run, so that a thread that was scheduled late processes acknowledgements that have already
        // arrived before it times out their probes.
        for (int i = 0; datagram && i < MAX_DATAGRAMS_PER_TICK; ++i) {
            handle(*datagram);
            datagram = m_udp.receive(duration::zero());
        }
        runTimers();
    }
}

void gossip_service::handle(const udp_datagram &datagram)
{
    m_datagramsReceived.fetch_add(1, std::memory_order_relaxed);
    m_bytesReceived.fetch_add(datagram.bytes.size(), std::memory_order_relaxed);
    const std::string from = datagram.from.toString();
    if (!m_allowed.allows(datagram.from.ip)) {
        m_refusals.add(refusal_reason::address_not_allowed, from);
        return;
    }
    peer_messages::envelope envelope;
    if (datagram.oversized || !envelope_codec::decode(datagram.bytes, envelope)) {
        m_refusals.add(datagram.oversized ? refusal_reason::oversized : refusal_reason::malformed, from);
        return;
    }
    refusal_reason reason{};
    const auto message = m_codec.open(envelope, from, wallClockMs(), &m_guard, reason);
    if (!message) {
        m_refusals.add(reason, from);
        return;
    }
    if (message->kind != message_kind::gossip) {
        m_refusals.add(refusal_reason::unknown_kind, from);
        return;
    }
    const auto gossip = decodeGossip(message->payload);
    if (!gossip) {
        m_refusals.add(refusal_reason::malformed, from);
        return;
    }
    gossip_events events;
    {
        const std::lock_guard lock(m_mutex);
        send(m_engine->receive(m_clock.now(), message->sender, from, *gossip));
        updatePlacementVersion();
        events = m_engine->takeEvents();
    }
    notify(events);
}

void gossip_service::runTimers()
{
    gossip_events events;
    {
        const std::lock_guard lock(m_mutex);
        send(m_engine->tick(m_clock.now()));
        updatePlacementVersion();
        events = m_engine->takeEvents();
    }
    notify(events);
}

void gossip_service::send(const std::vector<outgoing_gossip> &datagrams)
{
    for (const outgoing_gossip &datagram : datagrams) {
        const auto to = socket_address::parse(datagram.address);
        const std::string bytes = envelope_codec::encode(m_codec.seal(message_kind::gossip, datagram.recipient, encodeGossip(datagram.message)));
        if (!to || bytes.size() > envelope_codec::MAX_DATAGRAM_BYTES) {
            logError("datagram_not_sent", {{"address", datagram.address}, {"bytes", std::to_string(bytes.size())}});
            continue;
        }
        m_datagramsSent.fetch_add(1, std::memory_order_relaxed);
        m_bytesSent.fetch_add(bytes.size(), std::memory_order_relaxed);
        if (!m_settings.sendFilter || m_settings.sendFilter(datagram.address)) {
            m_udp.send(*to, bytes);
        }
    }
}

void gossip_service::notify(const gossip_events &events)
{
    for (const member_event &event : events.members) {
        logInfo("member_changed", {{"change", toString(event.kind)}, {"member", event.subject.id.str()}, {"address", event.subject.peerAddress}});
        if (m_callbacks.onMemberEvent) {
            m_callbacks.onMemberEvent(event);
        }
    }
    for (const fact &newFact : events.facts) {
        if (m_callbacks.onFact) {
            m_callbacks.onFact(newFact);
        }
    }
    for (const newer_config_peer &peer : events.newerConfigPeers) {
        if (m_callbacks.onNewerConfigPeer) {
            m_callbacks.onNewerConfigPeer(peer.address, peer.version);
        }
    }
}

outcome<fact> gossip_service::publish(fact item)
{
    const std::lock_guard lock(m_mutex);
    if (!m_engine) {
        return failure{error_code::unavailable, "the service isn't started"};
    }
    const time_point now = m_clock.now();
    outcome<fact> published = m_engine->publish(now, std::move(item));
    updatePlacementVersion();
    if (published) {
        send(m_engine->flushBroadcasts(now));
    }
    return published;
}

std::vector<member> gossip_service::members() const
{
    const std::lock_guard lock(m_mutex);
    return m_engine ? m_engine->nodes().others().all() : std::vector<member>();
}

std::vector<fact> gossip_service::facts() const
{
    const std::lock_guard lock(m_mutex);
    return m_engine ? m_engine->facts().all(m_clock.now()) : std::vector<fact>();
}

member gossip_service::self() const
{
    const std::lock_guard lock(m_mutex);
    return m_engine ? m_engine->nodes().self() : m_settings.self;
}

void gossip_service::setConfigVersion(config_version version)
{
    const std::lock_guard lock(m_mutex);
    if (!m_engine) {
        m_settings.self.configVersion = std::max(m_settings.self.configVersion, version);
        return;
    }
    m_engine->setConfigVersion(version);
    send(m_engine->flushBroadcasts(m_clock.now()));
}

void gossip_service::setAddressHints(std::vector<std::string> addresses)
{
    const std::lock_guard lock(m_mutex);
    if (m_engine) {
        m_engine->nodes().setAddressHints(std::move(addresses));
    }
}

outcome<peer_message> gossip_service::exchange(const std::string &address, const node_id &recipient, message_kind kind, std::string payload, duration timeout)
{
    return m_client.exchange(address, recipient, kind, std::move(payload), timeout);
}

gossip_statistics gossip_service::statistics() const
{
    return {m_datagramsSent, m_bytesSent, m_datagramsReceived, m_bytesReceived, m_refusals.total()};
}

} // namespace snipefall
