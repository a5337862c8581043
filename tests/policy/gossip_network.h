#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "policy/gossip_engine.h"

namespace snipefall {

/** Engines of several nodes on a network in memory with simulated time, loss, pauses and splits. All randomness comes from one seed. */
class gossip_network
{
public:
    gossip_network(std::size_t size, std::uint64_t seed);

    /** Starts node @p index, again if it ran before: without any state, with the current time as its incarnation. */
    void start(std::size_t index);
    void stop(std::size_t index) { m_nodes[index].engine.reset(); }
    /** Lets the node say that it leaves, and stops it. */
    void leave(std::size_t index);
    void pause(std::size_t index) { m_nodes[index].paused = true; }
    void resume(std::size_t index);
    /** Nodes of different sides don't reach each other. */
    void setSide(std::size_t index, int side) { m_nodes[index].side = side; }
    void setLoss(double share) { m_loss = share; }

    /** Called when a node sees a peer with a newer configuration. */
    void setAheadReaction(std::function<void(gossip_engine &, const peer_ahead &)> reaction) { m_aheadReaction = std::move(reaction); }

    void run(duration time);
    /** Runs until the condition holds; the time it took, or nothing after @p limit. */
    std::optional<duration> runUntil(duration limit, const std::function<bool()> &condition);

    gossip_engine &engine(std::size_t index) { return *m_nodes[index].engine; }
    bool runs(std::size_t index) const { return m_nodes[index].engine != nullptr && !m_nodes[index].paused; }
    std::size_t size() const { return m_nodes.size(); }
    time_point now() const { return m_now; }
    static node_id idOf(std::size_t index) { return node_id("node-" + std::to_string(index)); }

    /** True when each running node holds exactly the running nodes as live. */
    bool agrees() const;
    /** Number of running nodes that hold the fact. */
    std::size_t holders(const std::string &key) const;
    std::size_t running() const;
    /** Events of one kind since the last call of clearEvents. */
    std::size_t events(member_event_kind kind) const;
    void clearEvents() { m_events.clear(); }
    /** Bytes, by their upper bound, and largest datagram since the last call of clearTraffic. */
    std::size_t bytes() const { return m_bytes; }
    std::size_t largest() const { return m_largest; }
    void clearTraffic() { m_bytes = m_largest = 0; }

private:
    struct host
    {
        std::unique_ptr<gossip_engine> engine;
        bool paused = false;
        int side = 0;
        std::vector<std::pair<std::size_t, outgoing_gossip>> inbox; ///< Waiting while paused.
    };

    static std::string addressOf(std::size_t index) { return "10.0.0.1:" + std::to_string(10000 + index); }
    void post(std::size_t from, const std::vector<outgoing_gossip> &datagrams);
    void deliver(std::size_t from, std::size_t to, const outgoing_gossip &datagram);
    void collectEvents(std::size_t index);

    std::vector<host> m_nodes;
    std::mt19937_64 m_random;
    time_point m_now{std::chrono::hours(1)};
    double m_loss = 0;
    std::multimap<time_point, std::tuple<std::size_t, std::size_t, outgoing_gossip>> m_flying;
    std::function<void(gossip_engine &, const peer_ahead &)> m_aheadReaction;
    std::vector<member_event> m_events;
    std::size_t m_bytes = 0;
    std::size_t m_largest = 0;
};

} // namespace snipefall
