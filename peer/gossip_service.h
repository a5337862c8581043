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

/** Runs the gossip engine and the request-response exchanges of a node on real sockets and the system clock. Thread-safe. */
class gossip_service
{
public:
    gossip_service(gossip_service_settings settings, gossip_callbacks callbacks);
    ~gossip_service();
    gossip_service(const gossip_service &) = delete;
    gossip_service &operator=(const gossip_service &) = delete;

    /** Registers the handler of one kind of exchange. Must be called before start. */
    void registerHandler(message_kind kind, exchange_handler handler);

    /** Binds the UDP and TCP sockets and starts the gossip thread. Returns nothing on success. */
    std::optional<failure> start();
    /** Announces to the peers that this node leaves, stops the threads and closes the sockets. */
    void stop();

    /** Disseminates a fact by gossip and fills in its origin, incarnation and sequence. Returns unavailable before start. */
    outcome<fact> publish(fact item);
    /** Returns all known members except this node, including dead ones. */
    std::vector<member> members() const;
    std::vector<fact> facts() const;
    /** Returns the member record of this node with the address that was bound. */
    member self() const;
    /** See gossip_engine::placementVersion. Reads a copy without locking the engine. */
    std::uint64_t placementVersion() const { return m_placementVersion; }
    /** Announces the configuration version of this node. A lower version than the current one is ignored. */
    void setConfigVersion(config_version version);
    /** Sets further peer addresses, taken from the VM list of the platform. */
    void setAddressHints(std::vector<std::string> addresses);

    /** See exchange_client::exchange. */
    outcome<peer_message> exchange(const std::string &address, const node_id &recipient, message_kind kind, std::string payload, duration timeout);

    gossip_statistics statistics() const;
    const refusal_counters &refusals() const { return m_refusals; }

private:
    std::optional<failure> bindSockets();
    void run();
    void handle(const udp_datagram &datagram);
    void runTimers();
    void send(const std::vector<outgoing_gossip> &datagrams);
    void notify(const gossip_events &events);
    void updatePlacementVersion() { m_placementVersion = m_engine->placementVersion(); }

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
    mutable std::mutex m_mutex; ///< Guards m_engine.
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
