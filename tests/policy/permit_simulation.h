#pragma once

#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <queue>
#include <random>
#include <set>

#include "policy/permit_holder.h"

namespace snipefall {

/** Name and size of a simulated deployment with one service. */
struct permit_simulation_options
{
    const char *name;
    int nodes;
    int domains;
    permit_share limit;
};

inline std::ostream &operator<<(std::ostream &out, const permit_simulation_options &options)
{
    return out << options.name;
}

/**
 * Simulates several permit holders with drifting clocks, a platform and a network. Deterministic for a given seed.
 *
 * After each event, the usable shares of all nodes are summed at the same simulated time. The highest sums must never exceed the limit.
 */
class permit_simulation
{
public:
    permit_simulation(const permit_simulation_options &options, std::uint64_t seed);

    void run(duration time);
    /** Starts one fault of a random kind, which ends within 20 s. */
    void injectFault();
    /** Ends all faults immediately. Stopped nodes restart without any state; replaced nodes stay stopped. */
    void endFaults();
    void setPlatformDown(bool down) { m_platformDown = down; }
    /** The sum of the shares that all nodes may use now. */
    permit_share usableNow() const;
    /** The highest sums of usable slots and connections so far. */
    const permit_share &highest() const { return m_highest; }
    /** Number of successful writes of the permit record. */
    std::uint64_t changes() const { return m_platformVersion; }

private:
    struct simulated_node
    {
        placement_member member;
        double clockRate = 1.0; ///< Speed of the node's clock relative to simulated time.
        duration clockOffset{};
        duration pausedUntil{};
        duration stoppedUntil{};
        bool replaced = false; ///< Whether another node has replaced it; its VM is missing from the platform's list.
        bool partitioned = false; ///< Whether the node is on the side of a partition that cannot reach the platform.
        int generation = 0; ///< Incremented by each start and stop, to drop events of earlier runs.
        permit_share inUse;
        std::map<node_id, duration> lastHeard; ///< When each other node was last reachable; an id "suspect <id>" marks a false suspicion.
        std::optional<permit_holder> holder;
    };

    void addNode(int domain);
    void start(simulated_node &node);
    void stop(simulated_node &node, duration time);
    void tick(simulated_node &node);
    void execute(simulated_node &node, const permit_action &action);
    void callPlatform(simulated_node &node, const permit_action &action);
    void answerFromPlatform(simulated_node &node, const permit_action &action);
    void sendPromise(simulated_node &node, const ask_promise &ask);
    void schedule(duration delay, std::function<void()> event) { m_events.push({m_now + delay, ++m_sequence, std::move(event)}); }
    /** Runs @p event on the node after @p delay and any pause, unless the node has stopped or restarted in the meantime. */
    void deliver(simulated_node &node, duration delay, std::function<void(permit_holder &, time_point)> event);
    /** Sets @p flag now and clears it after @p time. */
    void setTemporarily(duration time, bool &flag);
    void updateHighest();
    time_point localTime(const simulated_node &node) const;
    bool alive(const simulated_node &node) const { return node.holder && m_now >= node.stoppedUntil && !node.replaced; }
    bool reachable(const simulated_node &a, const simulated_node &b) const { return alive(a) && alive(b) && a.partitioned == b.partitioned; }
    permit_inputs inputsOf(const simulated_node &node) const;
    duration randomDuration(long lowMs, long highMs) { return std::chrono::milliseconds(lowMs + static_cast<long>(m_random() % (highMs - lowMs + 1))); }
    duration messageDelay() { return m_losesMessages ? randomDuration(1, 1500) : randomDuration(1, 20); }
    duration platformDelay() { return m_platformSlow ? randomDuration(1, 1500) : randomDuration(1, 20); }
    bool randomChance(int percent) { return static_cast<int>(m_random() % 100) < percent; }

    struct event
    {
        duration time;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator>(const event &other) const { return std::tie(time, sequence) > std::tie(other.time, other.sequence); }
    };

    permit_simulation_options m_options;
    std::mt19937_64 m_random;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_sequence = 0;
    duration m_now{};
    std::vector<std::unique_ptr<simulated_node>> m_nodes;
    std::uint64_t m_platformVersion = 0;
    std::string m_platformValue;
    bool m_platformDown = false;
    bool m_platformSlow = false;
    bool m_losesPlatformAnswers = false;
    bool m_losesMessages = false;
    permit_share m_highest;
};

} // namespace snipefall
