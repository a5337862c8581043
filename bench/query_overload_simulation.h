#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "policy/request_route.h"
#include "policy/request_times.h"

/** Simulates queries over many shards that arrive faster than the servers can answer, on virtual time and without I/O, for the benchmark and the tests. */
namespace snipefall::query_overload {

/** Decides which queries a node admits. */
template <typename Admission>
concept admission_policy = requires(Admission admission, const request_route &route, const request_times &times, time_point now)
{
    {
        admission.admit(route, now)
        } -> std::same_as<bool>;
    {
        admission.retryAfter(route, times, now)
        } -> std::same_as<duration>;
    admission.recordResponse(route, duration(), now);
};

/** Admits every query. */
struct admit_all
{
    explicit admit_all(std::uint64_t) { }
    bool admit(const request_route &, time_point) { return true; }
    void recordResponse(const request_route &, duration, time_point) { }
    duration retryAfter(const request_route &, const request_times &, time_point) { return {}; }
};

struct load_phase
{
    duration length{};
    double queriesPerSecond = 0; ///< Of all nodes together.
};

struct topology
{
    std::uint32_t nodes = 7;
    std::uint32_t shards = 20;
    std::uint32_t serversPerShard = 2;
    std::uint32_t slots = 3;
};

struct phase_result
{
    std::uint64_t arrived = 0; ///< First attempts; returns after a rejection are not counted again.
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::uint64_t rejected = 0; ///< Rejected twice.
    std::uint64_t failed = 0;

    double share(std::uint64_t count) const { return arrived == 0 ? 0.0 : static_cast<double>(count) / static_cast<double>(arrived); }
};

constexpr duration PAUSE_INTERVAL = std::chrono::seconds(6);
constexpr duration PAUSE_LENGTH = std::chrono::milliseconds(250);
constexpr std::uint64_t SEED = 5051;

/** One run of the simulation: nodes that each send a sub-request of every query to one server of each shard. Servers have slots, a queue, and pauses. */
template <admission_policy Admission>
class simulation
{
public:
    explicit simulation(const topology &layout)
        : m_layout(layout)
        , m_random(SEED)
    {
        m_heavy.route = makeRoute("heavy", std::chrono::milliseconds(200), 0.89);
        m_heavy.serviceTime = std::chrono::milliseconds(28);
        m_heavy.deadline = std::chrono::milliseconds(1200);
        m_light.route = makeRoute("light", std::chrono::milliseconds(80), 0.75);
        m_light.serviceTime = std::chrono::microseconds(9200);
        m_light.deadline = std::chrono::milliseconds(500);
        for (std::uint32_t node = 0; node < layout.nodes; ++node) {
            m_admissions.emplace_back(SEED + node);
        }
        m_servers.resize(static_cast<std::size_t>(layout.shards) * layout.serversPerShard);
        std::uniform_int_distribution<duration::rep> phase(0, PAUSE_INTERVAL.count());
        for (server &item : m_servers) {
            item.pausePhase = duration(phase(m_random));
        }
    }

    /** Plays the phases one after the other; a query belongs to the phase in which it first arrives. */
    std::vector<phase_result> run(const std::vector<load_phase> &phases)
    {
        m_results.assign(phases.size(), {});
        time_point begin{std::chrono::hours(1)};
        for (std::size_t index = 0; index < phases.size(); ++index) {
            std::exponential_distribution<double> gap(phases[index].queriesPerSecond / 1e6);
            const time_point end = begin + phases[index].length;
            for (time_point at = begin; at < end; at += duration(1 + static_cast<duration::rep>(gap(m_random)))) {
                schedule(at, [this, index](time_point now) { arrive(index, now); });
            }
            begin = end;
        }
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            next.action(next.at);
        }
        return m_results;
    }

private:
    struct query_kind
    {
        request_route route;
        duration serviceTime{};
        duration deadline{};
    };
    struct query
    {
        const query_kind *kind = nullptr;
        std::size_t phase = 0;
        std::size_t node = 0;
        time_point firstArrival; ///< Of the first attempt.
        time_point arrival;
        std::uint32_t answered = 0;
        bool reported = false;
        bool ended = false;
    };
    struct waiting_part
    {
        std::size_t query = 0;
        duration serviceTime{};
    };
    struct server
    {
        std::deque<waiting_part> queue;
        std::uint32_t running = 0;
        duration pausePhase{};
    };
    struct event
    {
        time_point at;
        std::uint64_t number = 0;
        std::function<void(time_point)> action;

        bool operator>(const event &other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    request_route makeRoute(const std::string &name, duration target, double minCoverage) const
    {
        request_route route;
        route.name = name;
        route.targetLatency = target;
        route.minCoverage = minCoverage;
        for (std::uint32_t shard = 0; shard < m_layout.shards; ++shard) {
            route.shards.emplace_back("shard-" + std::to_string(shard));
        }
        return route;
    }

    void schedule(time_point at, std::function<void(time_point)> action) { m_events.push({at, m_eventCount++, std::move(action)}); }

    void arrive(std::size_t phase, time_point now)
    {
        query added;
        added.kind = std::uniform_real_distribution<double>(0, 1)(m_random) < 0.75 ? &m_heavy : &m_light;
        added.phase = phase;
        added.firstArrival = now;
        ++m_results[phase].arrived;
        offer(added, now);
    }

    void offer(query offered, time_point now)
    {
        offered.node = std::uniform_int_distribution<std::size_t>(0, m_layout.nodes - 1)(m_random);
        offered.arrival = now;
        const request_route &route = offered.kind->route;
        Admission &admission = m_admissions[offered.node];
        if (!admission.admit(route, now)) {
            if (now != offered.firstArrival) {
                ++m_results[offered.phase].rejected;
                return;
            }
            request_times times;
            times.received = now;
            times.target = now + route.targetLatency;
            times.deadline = now + offered.kind->deadline;
            schedule(now + admission.retryAfter(route, times, now), [this, offered](time_point at) { offer(offered, at); });
            return;
        }
        const std::size_t id = m_queries.size();
        m_queries.push_back(offered);
        std::lognormal_distribution<double> spread(-0.06, 0.35);
        for (std::size_t shard = 0; shard < m_layout.shards; ++shard) {
            enqueue(shard, {id, duration(static_cast<duration::rep>(static_cast<double>(offered.kind->serviceTime.count()) * spread(m_random)))}, now);
        }
        schedule(now + route.targetLatency, [this, id](time_point at) { report(m_queries[id], at); });
        schedule(offered.firstArrival + offered.kind->deadline, [this, id](time_point) {
            query &expired = m_queries[id];
            m_results[expired.phase].failed += expired.ended ? 0 : 1;
            expired.ended = true;
        });
    }

    /** Sends a part to the server of the shard with the shortest queue. */
    void enqueue(std::size_t shard, const waiting_part &part, time_point now)
    {
        std::size_t best = shard * m_layout.serversPerShard;
        for (std::size_t candidate = best + 1; candidate < (shard + 1) * m_layout.serversPerShard; ++candidate) {
            if (m_servers[candidate].queue.size() + m_servers[candidate].running < m_servers[best].queue.size() + m_servers[best].running) {
                best = candidate;
            }
        }
        m_servers[best].queue.push_back(part);
        startNext(best, now);
    }

    void startNext(std::size_t index, time_point now)
    {
        server &item = m_servers[index];
        while (!item.queue.empty() && item.running < m_layout.slots) {
            const waiting_part part = item.queue.front();
            item.queue.pop_front();
            if (m_queries[part.query].ended && now >= m_queries[part.query].firstArrival + m_queries[part.query].kind->deadline) {
                continue; // Servers don't start a request whose deadline has passed.
            }
            ++item.running;
            schedule(endOf(item, now, part.serviceTime), [this, index, part](time_point at) {
                --m_servers[index].running;
                answered(part.query, at);
                startNext(index, at);
            });
        }
    }

    /** The end of a request that starts now; the server stands still during its pauses. */
    static time_point endOf(const server &item, time_point now, duration serviceTime)
    {
        const duration sincePause = (now.time_since_epoch() + item.pausePhase) % PAUSE_INTERVAL;
        if (sincePause < PAUSE_LENGTH) {
            return now + (PAUSE_LENGTH - sincePause) + serviceTime;
        }
        return sincePause + serviceTime > PAUSE_INTERVAL ? now + serviceTime + PAUSE_LENGTH : now + serviceTime;
    }

    void answered(std::size_t id, time_point now)
    {
        query &item = m_queries[id];
        ++item.answered;
        if (item.ended || item.answered < item.kind->route.minCoverage * m_layout.shards) {
            return;
        }
        report(item, now);
        item.ended = true;
        phase_result &result = m_results[item.phase];
        ++(now - item.firstArrival <= item.kind->route.targetLatency ? result.inTime : result.late);
    }

    void report(query &item, time_point now)
    {
        if (!item.reported) {
            item.reported = true;
            m_admissions[item.node].recordResponse(item.kind->route, now - item.arrival, now);
        }
    }

    topology m_layout;
    std::mt19937_64 m_random;
    query_kind m_heavy;
    query_kind m_light;
    std::vector<Admission> m_admissions;
    std::vector<server> m_servers;
    std::deque<query> m_queries;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_eventCount = 0;
    std::vector<phase_result> m_results;
};

} // namespace snipefall::query_overload
