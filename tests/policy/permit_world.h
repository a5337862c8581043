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

/** Size of a simulated deployment with one service. */
struct permit_world_options
{
    const char *name;
    int nodes;
    int domains;
    permit_share limit;
};

inline std::ostream &operator<<(std::ostream &out, const permit_world_options &options)
{
    return out << options.name;
}

/**
 * Several permit holders with drifting clocks, a platform and a network, driven by one random generator.
 *
 * After each event the usable shares of all nodes are added up at the same true time; the highest sums are the oracle of safety.
 */
class permit_world
{
public:
    permit_world(const permit_world_options &options, std::uint64_t seed);

    void run(duration time);
    /** Starts one fault of a random kind, which ends by itself within 20 s. */
    void injectFault();
    /** Ends all faults at once; stopped nodes start again without any state, replaced ones stay away. */
    void endFaults();
    void setPlatformDown(bool down) { m_platformDown = down; }
    permit_share usableNow() const;
    const permit_share &highest() const { return m_highest; }
    std::uint64_t changes() const { return m_platformVersion; }

private:
    struct sim_node
    {
        placement_member member;
        double rate = 1.0;
        duration offset{};
        duration pausedUntil{};
        duration deadUntil{};
        bool gone = false;
        bool cutOff = false;
        int life = 0;
        permit_share inUse;
        std::map<node_id, duration> heard;
        std::optional<permit_holder> holder;
    };

    void addNode(int domain);
    void start(sim_node &node);
    void stop(sim_node &node, duration time);
    void tick(sim_node &node);
    void perform(sim_node &node, const permit_action &action);
    void callPlatform(sim_node &node, const permit_action &action);
    void answerFromPlatform(sim_node &node, const permit_action &action);
    void sendPromise(sim_node &node, const ask_promise &ask);
    void after(duration delay, std::function<void()> event) { m_events.push({m_now + delay, ++m_sequence, std::move(event)}); }
    /** Runs @p event on the node when it is next awake, unless it has restarted since. */
    void deliver(sim_node &node, duration delay, std::function<void(permit_holder &, time_point)> event);
    void whileLasting(duration time, bool &flag);
    void check();
    time_point localTime(const sim_node &node) const;
    bool alive(const sim_node &node) const { return node.holder && m_now >= node.deadUntil && !node.gone; }
    bool reachable(const sim_node &a, const sim_node &b) const { return alive(a) && alive(b) && a.cutOff == b.cutOff; }
    permit_surroundings surroundingsOf(const sim_node &node) const;
    duration between(long lowMs, long highMs) { return std::chrono::milliseconds(lowMs + static_cast<long>(m_random() % (highMs - lowMs + 1))); }
    duration messageDelay() { return m_losesMessages ? between(1, 1500) : between(1, 20); }
    duration networkDelay() { return m_platformSlow ? between(1, 1500) : between(1, 20); }
    bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }

    struct event
    {
        duration time;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator>(const event &other) const { return std::tie(time, sequence) > std::tie(other.time, other.sequence); }
    };

    permit_world_options m_options;
    std::mt19937_64 m_random;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_sequence = 0;
    duration m_now{};
    std::vector<std::unique_ptr<sim_node>> m_nodes;
    std::uint64_t m_platformVersion = 0;
    std::string m_platformValue;
    bool m_platformDown = false;
    bool m_platformSlow = false;
    bool m_losesAnswers = false;
    bool m_losesMessages = false;
    permit_share m_highest;
};

} // namespace snipefall
