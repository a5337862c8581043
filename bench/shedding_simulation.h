#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "policy/permit_share.h"
#include "policy/server_answer.h"

/** Simulates nodes that send to one backend server, in values only, for the benchmark and the tests of limiters. */
namespace snipefall::shedding {

constexpr duration SERVICE_TIME = std::chrono::milliseconds(6);
constexpr duration SHED_ANSWER_TIME = std::chrono::milliseconds(1);
constexpr duration STEP = std::chrono::microseconds(250);
constexpr duration RAMP_TIME = std::chrono::seconds(5);
/** What a cold server bears at first, in requests at a time: one request, then a rest of four times as long. */
constexpr double FIRST_CAPACITY = 0.2;
constexpr std::uint64_t SEED = 5051;

/** A server whose capacity is below its slots while it is cold, and which sheds some requests without need. */
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
        const double warmth = static_cast<double>((now - *coldSince).count()) / static_cast<double>(RAMP_TIME.count());
        return FIRST_CAPACITY + warmth * (slots - FIRST_CAPACITY);
    }
    /** Requests beyond the whole part of the capacity are shed; below 1, the server rests between requests. */
    bool sheds(time_point now, std::mt19937_64 &random) const
    {
        if (std::uniform_real_distribution<double>(0, 1)(random) < shedShare) {
            return true;
        }
        const double bears = capacity(now);
        if (bears >= 1.0) {
            return running >= static_cast<std::uint32_t>(bears);
        }
        const auto gap = duration(static_cast<duration::rep>(static_cast<double>(SERVICE_TIME.count()) / bears));
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

/** The requests that wait at one node; a load of 0 stands for callers that always have work waiting. */
class request_queue
{
public:
    request_queue(double perSecond, std::uint64_t seed)
        : m_endless(perSecond == 0.0)
        , m_random(seed)
        , m_arrivals(m_endless ? 1.0 : perSecond / 1e6 * static_cast<double>(STEP.count()))
    {
    }
    void advance() { m_waiting = m_endless ? 1 : std::min(MAX_WAITING, m_waiting + m_arrivals(m_random)); }
    bool empty() const { return m_waiting == 0; }
    void pop() { m_waiting -= m_endless ? 0 : 1; }

private:
    static constexpr int MAX_WAITING = 64;

    bool m_endless;
    int m_waiting = 0;
    std::mt19937_64 m_random;
    std::poisson_distribution<int> m_arrivals;
};

/** Nodes with an equal part of the server's slots each; @p load is a part of what the warm server can do, 0 stands for endless work. */
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
            const sent_request done = sent.top();
            sent.pop();
            server.running -= done.shed ? 0 : 1;
            ++(done.shed ? result.shed : result.answered);
            const auto kind = done.shed ? server_answer_kind::shed : server_answer_kind::success;
            limiters[done.node].finished(done.start, {kind, SERVICE_TIME, SERVICE_TIME}, now);
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
