#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "core/outcome.h"
#include "peer/envelope_codec.h"
#include "peer/exchange_client.h"
#include "peer/exchange_server.h"
#include "peer/gossip_callbacks.h"
#include "peer/gossip_service_settings.h"
#include "peer/gossip_statistics.h"
#include "peer/refusal_counters.h"
#include "peer/replay_guard.h"
#include "peer/udp_transport.h"
#include "policy/gossip_engine.h"

namespace snipefall {

/** A node's side towards its peers: membership, facts and exchanges with the real clock and sockets. Thread-safe. */
class gossip_service
{
public:
    gossip_service(gossip_service_settings settings, gossip_callbacks callbacks);
    ~gossip_service();
    gossip_service(const gossip_service &) = delete;
    gossip_service &operator=(const gossip_service &) = delete;

    /** Registers the handler of a kind of exchange; before start only. */
    void registerHandler(message_kind kind, exchange_handler handler);

    /** Binds and starts the thread. Nothing on success. */
    std::optional<failure> start();
    /** Tells the peers that this node stops, and stops. */
    void stop();

    /** Disseminates a fact; origin, incarnation and sequence are filled in. */
    outcome<fact> publish(fact item);
    /** All known members except this node, dead ones included. */
    std::vector<member> members() const;
    std::vector<fact> facts() const;
    /** This node's own record with its bound address. */
    member self() const;
    /** See gossip_engine::placementVersion; read without waiting for the engine. */
    std::uint64_t placementVersion() const { return m_placementVersion; }
    /** Announces the configuration version of this node; lower ones are ignored. */
    void setConfigVersion(config_version version);
    /** Peer addresses from the platform's VM list. */
    void setAddressHints(std::vector<std::string> addresses);

    /** See exchange_client::exchange. */
    outcome<peer_message> exchange(const std::string &address, const node_id &recipient, message_kind kind, std::string payload, duration timeout);

    gossip_statistics statistics() const;
    const refusal_counters &refusals() const { return m_refusals; }

private:
    std::optional<failure> bindSockets();
    void run();
    void handle(const udp_datagram &datagram);
    void flush();
    void send(const std::vector<outgoing_gossip> &datagrams);
    void notify(const gossip_events &events);
    void notePlacementVersion() { m_placementVersion = m_engine->placementVersion(); }

    gossip_service_settings m_settings;
    gossip_callbacks m_callbacks;
    system_clock m_clock;
    refusal_counters m_refusals;
    envelope_codec m_codec;
    replay_guard m_guard;
    udp_transport m_udp;
    exchange_client m_client;
    std::map<message_kind, exchange_handler> m_handlers;
    std::unique_ptr<exchange_server> m_server;
    allowed_peers m_allowed;
    mutable std::mutex m_mutex; ///< Guards the engine.
    std::optional<gossip_engine> m_engine;
    std::thread m_thread;
    std::atomic<std::uint64_t> m_placementVersion{0};
    std::atomic<bool> m_stopping{false};
    std::atomic<std::uint64_t> m_datagramsSent{0};
    std::atomic<std::uint64_t> m_bytesSent{0};
    std::atomic<std::uint64_t> m_datagramsReceived{0};
    std::atomic<std::uint64_t> m_bytesReceived{0};
};

} // namespace snipefall
