#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "policy/permit_share.h"
#include "policy/server_answer.h"

/** Simulates nodes that send requests to one backend server, on virtual time and without I/O, for the benchmark and the tests of limiters. */
namespace snipefall::shedding {

constexpr duration SERVICE_TIME = std::chrono::milliseconds(6);
constexpr duration SHED_ANSWER_TIME = std::chrono::milliseconds(1);
constexpr duration STEP = std::chrono::microseconds(250);
constexpr duration RAMP_TIME = std::chrono::seconds(5);
/** Initial capacity of a cold server in concurrent requests: after one request it stays idle for four times as long. */
constexpr double INITIAL_CAPACITY = 0.2;
constexpr std::uint64_t SEED = 5051;

/** A server whose capacity is below its slots while it is cold, and which also sheds a random share of the requests. */
struct simulated_server
{
    std::uint32_t slots = 0;
    double shedShare = 0.0;
    std::optional<time_point> coldSince{};
    std::uint32_t running = 0;
    time_point lastStart = time_point::min();

    double capacity(time_point now) const
    {
        if (!coldSince || now < *coldSince || now >= *coldSince + RAMP_TIME) {
            return slots;
        }
        const double rampProgress = static_cast<double>((now - *coldSince).count()) / static_cast<double>(RAMP_TIME.count());
        return INITIAL_CAPACITY + rampProgress * (slots - INITIAL_CAPACITY);
    }
    /** Whether a new request is shed: beyond the integer part of the capacity or, below a capacity of 1, before the idle time after a request has passed. */
    bool sheds(time_point now, std::mt19937_64 &random) const
    {
        if (std::uniform_real_distribution<double>(0, 1)(random) < shedShare) {
            return true;
        }
        const double currentCapacity = capacity(now);
        if (currentCapacity >= 1.0) {
            return running >= static_cast<std::uint32_t>(currentCapacity);
        }
        const auto gap = duration(static_cast<duration::rep>(static_cast<double>(SERVICE_TIME.count()) / currentCapacity));
        return running > 0 || (lastStart != time_point::min() && now - lastStart < gap);
    }
};

struct shed_result
{
    std::uint64_t answered = 0;
    std::uint64_t shed = 0;
    std::uint64_t shedInRamp = 0;
    std::uint64_t sentInRamp = 0;

    double shedPercent() const { return 100.0 * static_cast<double>(shed) / static_cast<double>(std::max<std::uint64_t>(1, answered + shed)); }
    double rampShedPercent() const { return 100.0 * static_cast<double>(shedInRamp) / static_cast<double>(std::max<std::uint64_t>(1, sentInRamp)); }
};

struct sent_request
{
    time_point end;
    std::size_t node = 0;
    std::uint64_t start = 0;
    bool shed = false;

    bool operator>(const sent_request &other) const { return end > other.end; }
};

/** The requests queued at one node. An arrival rate of 0 means that a request is always waiting. */
class request_queue
{
public:
    request_queue(double perSecond, std::uint64_t seed)
        : m_alwaysWaiting(perSecond == 0.0)
        , m_random(seed)
        , m_arrivals(m_alwaysWaiting ? 1.0 : perSecond / 1e6 * static_cast<double>(STEP.count()))
    {
    }
    void advance() { m_waiting = m_alwaysWaiting ? 1 : std::min(MAX_WAITING, m_waiting + m_arrivals(m_random)); }
    bool empty() const { return m_waiting == 0; }
    void pop() { m_waiting -= m_alwaysWaiting ? 0 : 1; }

private:
    static constexpr int MAX_WAITING = 64;

    bool m_alwaysWaiting;
    int m_waiting = 0;
    std::mt19937_64 m_random;
    std::poisson_distribution<int> m_arrivals;
};

/**
 * Simulates nodes that each hold an equal part of the server's slots.
 *
 * @p load is a fraction of the throughput of the warm server; 0 means that a request is always waiting at each node.
 */
template <typename Limiter>
shed_result simulateShedding(simulated_server server, std::uint32_t nodes, double load, duration runTime)
{
    std::mt19937_64 random(SEED);
    const double perSecond = load * server.slots * 1e6 / static_cast<double>(SERVICE_TIME.count());
    std::vector<request_queue> queues;
    for (std::uint32_t node = 0; node < nodes; ++node) {
        queues.emplace_back(perSecond / nodes, SEED + 1 + node);
    }
    std::priority_queue<sent_request, std::vector<sent_request>, std::greater<>> sent;
    std::vector<Limiter> limiters(nodes, Limiter(1));
    const permit_share share{server.slots / nodes, 50};
    shed_result result;
    for (time_point now{}; now < time_point(runTime); now += STEP) {
        while (!sent.empty() && sent.top().end <= now) {
            const sent_request completed = sent.top();
            sent.pop();
            server.running -= completed.shed ? 0 : 1;
            ++(completed.shed ? result.shed : result.answered);
            const auto kind = completed.shed ? server_answer_kind::shed : server_answer_kind::success;
            limiters[completed.node].finished(completed.start, {kind, SERVICE_TIME, SERVICE_TIME}, now);
        }
        const bool inRamp = server.coldSince && now >= *server.coldSince && now < *server.coldSince + RAMP_TIME;
        for (std::size_t node = 0; node < nodes; ++node) {
            queues[node].advance();
            while (!queues[node].empty() && limiters[node].mayStart(share, now)) {
                queues[node].pop();
                const bool shed = server.sheds(now, random);
                result.sentInRamp += inRamp ? 1 : 0;
                result.shedInRamp += inRamp && shed ? 1 : 0;
                server.running += shed ? 0 : 1;
                server.lastStart = shed ? server.lastStart : now;
                sent.push({now + (shed ? SHED_ANSWER_TIME : SERVICE_TIME), node, limiters[node].started(share), shed});
            }
        }
    }
    return result;
}

} // namespace snipefall::shedding
