#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "policy/gossip_engine.h"

namespace snipefall {

/** Several gossip_engines on a simulated network with virtual time, packet loss, process pauses and partitions. Deterministic for a given seed. */
class gossip_network
{
public:
    gossip_network(std::size_t size, std::uint64_t seed);

    /** Starts or restarts node @p index without any state and with the current time as its incarnation. */
    void start(std::size_t index);
    /** Kills the node without an announcement. */
    void stop(std::size_t index) { m_nodes[index].engine.reset(); }
    /** Stops the node after it has announced that it leaves. */
    void leave(std::size_t index);
    void pause(std::size_t index) { m_nodes[index].paused = true; }
    void resume(std::size_t index);
    /** Puts the node on one side of a network partition; nodes on different sides can't reach each other. */
    void setPartitionSide(std::size_t index, int side) { m_nodes[index].side = side; }
    /** Sets the share of datagrams that are lost, from 0 to 1. */
    void setLoss(double share) { m_loss = share; }
    /** Sets whether something other than a node, such as a store, answers all nodes on partition sides up to @p lastSide all the time. */
    void setOutsideAnswers(bool answers, int lastSide = 0)
    {
        m_outsideAnswers = answers;
        m_lastAnsweredSide = lastSide;
    }

    /** Sets a function that is called when a node learns of a peer with a newer configuration version. */
    void setNewerConfigHandler(std::function<void(gossip_engine &, const newer_config_peer &)> reaction) { m_newerConfigHandler = std::move(reaction); }

    void run(duration time);
    /** Runs until @p condition holds. Returns the time it took, or nothing if it did not hold within @p limit. */
    std::optional<duration> runUntil(duration limit, const std::function<bool()> &condition);

    gossip_engine &engine(std::size_t index) { return *m_nodes[index].engine; }
    bool runs(std::size_t index) const { return m_nodes[index].engine != nullptr && !m_nodes[index].paused; }
    std::size_t size() const { return m_nodes.size(); }
    time_point now() const { return m_now; }
    static node_id idOf(std::size_t index) { return node_id("node-" + std::to_string(index)); }

    /** Returns true if every running node lists exactly the running nodes as live. */
    bool converged() const;
    /** Returns the number of running nodes that hold the fact. */
    std::size_t holders(const std::string &key) const;
    std::size_t running() const;
    /** Returns the number of events of one kind on all nodes since the last call of clearEvents(). */
    std::size_t events(member_event_kind kind) const;
    void clearEvents() { m_events.clear(); }
    /** Payload bytes sent by all nodes since the last call of clearTraffic(), as upper bounds of the encoded sizes. */
    std::size_t bytes() const { return m_bytes; }
    /** Payload bytes of the largest datagram since the last call of clearTraffic(), as an upper bound. */
    std::size_t largest() const { return m_largest; }
    void clearTraffic() { m_bytes = m_largest = 0; }

private:
    struct simulated_node
    {
        std::unique_ptr<gossip_engine> engine;
        bool paused = false;
        int side = 0;
        std::vector<std::pair<std::size_t, outgoing_gossip>> inbox; ///< Datagrams received while paused, with the index of the sender.
    };

    static std::string addressOf(std::size_t index) { return "10.0.0.1:" + std::to_string(10000 + index); }
    void send(std::size_t from, const std::vector<outgoing_gossip> &datagrams);
    void deliver(std::size_t from, std::size_t to, const outgoing_gossip &datagram);
    void collectEvents(std::size_t index);

    std::vector<simulated_node> m_nodes;
    std::mt19937_64 m_random;
    time_point m_now{std::chrono::hours(1)};
    double m_loss = 0;
    bool m_outsideAnswers = false;
    int m_lastAnsweredSide = 0;
    std::multimap<time_point, std::tuple<std::size_t, std::size_t, outgoing_gossip>> m_inFlight;
    std::function<void(gossip_engine &, const newer_config_peer &)> m_newerConfigHandler;
    std::vector<member_event> m_events;
    std::size_t m_bytes = 0;
    std::size_t m_largest = 0;
};

} // namespace snipefall
