#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <fmt/core.h>

#include "bench/json_option.h"
#include "core/json.h"
#include "policy/admission_queue.h"
#include "policy/server_limiter.h"

using namespace snipefall;

namespace {

constexpr std::uint32_t SERVERS = 2;
constexpr std::uint32_t SLOTS_PER_SERVER = 2;
constexpr std::uint32_t PERMITS = SERVERS * SLOTS_PER_SERVER;
constexpr double SERVICE_TIME_US = 6000.0;
constexpr double CAPACITY_PER_S = PERMITS * 1e6 / SERVICE_TIME_US;
constexpr duration DEADLINE = std::chrono::milliseconds(100);
constexpr duration RUN_TIME = std::chrono::seconds(30);
constexpr std::size_t MAX_QUEUED = 64; ///< The default of max_queued_queries.
constexpr std::uint64_t SEED = 5051;

struct arrival
{
    time_point at;
    duration serviceTime;
    caller_id caller;
};

/**
 * Generates Poisson arrivals; service times are uniform between half and one and a half of the mean.
 *
 * The first caller sends @p skew times as many queries as each other caller.
 */
std::vector<arrival> makeArrivals(double perSecond, int callers, double skew)
{
    std::mt19937_64 random(SEED);
    std::exponential_distribution<double> gap(perSecond / 1e6);
    std::uniform_real_distribution<double> service(0.5 * SERVICE_TIME_US, 1.5 * SERVICE_TIME_US);
    std::vector<double> weights(callers, 1.0);
    weights.front() = skew;
    std::discrete_distribution<int> caller(weights.begin(), weights.end());
    std::vector<arrival> arrivals;
    for (double atUs = gap(random); atUs < static_cast<double>(RUN_TIME.count()); atUs += gap(random)) {
        arrivals.push_back({time_point(duration(static_cast<duration::rep>(atUs))),
                            duration(static_cast<duration::rep>(service(random))),
                            caller_id(fmt::format("caller-{}", caller(random)))});
    }
    return arrivals;
}

/** Decides which waiting query runs next, with or without admission control. */
class query_scheduler
{
public:
    virtual ~query_scheduler() = default;
    virtual void offer(std::uint64_t id, const arrival &query, time_point now) = 0;
    virtual std::optional<std::uint64_t> next(time_point now) = 0;
    virtual void finished(const arrival &query) = 0;
};

/** Baseline without admission control: one FIFO queue of unlimited length. */
class unbounded_fifo : public query_scheduler
{
public:
    void offer(std::uint64_t id, const arrival &, time_point) override { m_queue.push(id); }
    std::optional<std::uint64_t> next(time_point) override
    {
        if (m_queue.empty()) {
            return std::nullopt;
        }
        const auto id = m_queue.front();
        m_queue.pop();
        return id;
    }
    void finished(const arrival &) override { }

private:
    std::queue<std::uint64_t> m_queue;
};

class admission_scheduler : public query_scheduler
{
public:
    void offer(std::uint64_t id, const arrival &query, time_point now) override { m_queue.offer({id, query.caller, now + DEADLINE}, PERMITS, now); }
    std::optional<std::uint64_t> next(time_point now) override
    {
        const auto next = m_queue.next(now);
        return next.start ? std::optional(next.start->id) : std::nullopt;
    }
    void finished(const arrival &query) override { m_queue.finished(query.caller, query.serviceTime); }

private:
    admission_queue m_queue{MAX_QUEUED, std::chrono::milliseconds(6)};
};

struct caller_counts
{
    std::uint64_t offered = 0;
    std::uint64_t good = 0;
};

struct load_result
{
    double goodPerS = 0.0;
    double latePercent = 0.0;
    double refusedPercent = 0.0; ///< Queries that did not run: refused by admission control or still queued at the end.
    double p99Ms = 0.0; ///< Latency of all queries that ran, from arrival to completion.
    std::map<caller_id, caller_counts> callers;
};

load_result simulate(const std::vector<arrival> &arrivals, query_scheduler &scheduler)
{
    using completion = std::pair<time_point, std::uint64_t>;
    std::priority_queue<completion, std::vector<completion>, std::greater<>> running;
    std::vector<double> latenciesMs;
    load_result result;
    std::uint64_t good = 0;
    const auto startNext = [&](time_point now) {
        while (running.size() < PERMITS) {
            const auto id = scheduler.next(now);
            if (!id) {
                return;
            }
            running.emplace(now + arrivals[*id].serviceTime, *id);
        }
    };
    const auto finishUntil = [&](time_point limit) {
        while (!running.empty() && running.top().first <= limit) {
            const auto [now, id] = running.top();
            running.pop();
            const auto &query = arrivals[id];
            scheduler.finished(query);
            latenciesMs.push_back(static_cast<double>((now - query.at).count()) / 1000.0);
            if (now - query.at <= DEADLINE) {
                ++good;
                ++result.callers[query.caller].good;
            }
            startNext(now);
        }
    };
    for (std::uint64_t id = 0; id < arrivals.size(); ++id) {
        finishUntil(arrivals[id].at);
        ++result.callers[arrivals[id].caller].offered;
        scheduler.offer(id, arrivals[id], arrivals[id].at);
        startNext(arrivals[id].at);
    }
    finishUntil(time_point(RUN_TIME));
    std::sort(latenciesMs.begin(), latenciesMs.end());
    const auto offered = static_cast<double>(arrivals.size());
    const auto ran = static_cast<double>(latenciesMs.size());
    result.goodPerS = static_cast<double>(good) * 1e6 / static_cast<double>(RUN_TIME.count());
    result.latePercent = 100.0 * (ran - static_cast<double>(good)) / offered;
    result.refusedPercent = 100.0 * (offered - ran) / offered;
    result.p99Ms = latenciesMs.empty() ? 0.0 : latenciesMs[latenciesMs.size() * 99 / 100];
    return result;
}

json describe(const load_result &result)
{
    return {{"good_per_s", result.goodPerS}, {"late_percent", result.latePercent}, {"refused_percent", result.refusedPercent}, {"p99_ms", result.p99Ms}};
}

struct named_scheduler
{
    const char *name;
    std::function<std::unique_ptr<query_scheduler>()> make;
};

const named_scheduler SCHEDULERS[] = {
    {"unbounded FIFO", [] { return std::make_unique<unbounded_fifo>(); }},
    {"admission queue", [] { return std::make_unique<admission_scheduler>(); }},
};

json benchLoads()
{
    json rows = json::array();
    fmt::print("Offered load, {} servers with {} slots, {:.0f} us: capacity {:.0f}/s, deadline {} ms\n",
               SERVERS,
               SLOTS_PER_SERVER,
               SERVICE_TIME_US,
               CAPACITY_PER_S,
               DEADLINE.count() / 1000);
    fmt::print("{:>5}  {:<16} {:>9} {:>10} {:>9} {:>7} {:>9}\n", "load", "order", "good/s", "of peak %", "p99 ms", "late %", "not run %");
    std::map<std::string, double> peaks;
    for (const double load : {0.5, 0.7, 0.9, 1.0, 1.1, 1.25, 1.5, 2.0, 2.5, 3.0}) {
        const auto arrivals = makeArrivals(load * CAPACITY_PER_S, 5, 1.0);
        for (const auto &scheduler : SCHEDULERS) {
            const auto result = simulate(arrivals, *scheduler.make());
            auto &peak = peaks[scheduler.name];
            peak = std::max(peak, result.goodPerS);
            const double percentOfPeak = 100.0 * result.goodPerS / peak;
            fmt::print("{:>5.2f}  {:<16} {:>9.1f} {:>10.1f} {:>9.1f} {:>7.1f} {:>9.1f}\n",
                       load,
                       scheduler.name,
                       result.goodPerS,
                       percentOfPeak,
                       result.p99Ms,
                       result.latePercent,
                       result.refusedPercent);
            auto row = describe(result);
            row["load"] = load;
            row["order"] = scheduler.name;
            row["percent_of_peak"] = percentOfPeak;
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

json benchFairness()
{
    json rows = json::array();
    fmt::print("\nFive callers, caller-0 sends 10 times as much as each other: queries answered in time\n");
    fmt::print("{:>5}  {:<16} {:>14} {:>14} {:>18}\n", "load", "order", "caller-0 %", "others %", "worst other %");
    for (const double load : {1.0, 2.0, 3.0}) {
        const auto arrivals = makeArrivals(load * CAPACITY_PER_S, 5, 10.0);
        for (const auto &scheduler : SCHEDULERS) {
            const auto result = simulate(arrivals, *scheduler.make());
            double heavyPercent = 0.0;
            double worstOtherPercent = 100.0;
            caller_counts others;
            for (const auto &[caller, counts] : result.callers) {
                const double percent = 100.0 * static_cast<double>(counts.good) / static_cast<double>(counts.offered);
                if (caller == caller_id("caller-0")) {
                    heavyPercent = percent;
                    continue;
                }
                worstOtherPercent = std::min(worstOtherPercent, percent);
                others.good += counts.good;
                others.offered += counts.offered;
            }
            const double othersPercent = 100.0 * static_cast<double>(others.good) / static_cast<double>(others.offered);
            fmt::print("{:>5.2f}  {:<16} {:>14.1f} {:>14.1f} {:>18.1f}\n", load, scheduler.name, heavyPercent, othersPercent, worstOtherPercent);
            rows.push_back({{"load", load},
                            {"order", scheduler.name},
                            {"heavy_percent", heavyPercent},
                            {"others_percent", othersPercent},
                            {"worst_other_percent", worstOtherPercent}});
        }
    }
    return rows;
}

constexpr duration RAMP_TIME = std::chrono::seconds(5);
constexpr duration COLD_RUN_TIME = std::chrono::seconds(10);
constexpr permit_share COLD_SHARE{6, 50};
constexpr duration SHED_ANSWER_TIME = std::chrono::milliseconds(1);

struct cold_start_result
{
    std::uint64_t overloads = 0; ///< Requests that the server shed because it already ran at capacity.
    std::uint64_t answered = 0;
};

/** Simulates a server whose capacity grows linearly from one concurrent request to COLD_SHARE while requests are always waiting. */
cold_start_result simulateColdStart(bool slowStart)
{
    struct sent_request
    {
        time_point end;
        std::uint64_t start;
        server_answer answer;

        bool operator>(const sent_request &other) const { return end > other.end; }
    };
    std::priority_queue<sent_request, std::vector<sent_request>, std::greater<>> sent;
    server_limiter limiter(1);
    cold_start_result result;
    std::uint32_t runningOnServer = 0;
    for (time_point now{}; now < time_point(COLD_RUN_TIME); now += duration(100)) {
        while (!sent.empty() && sent.top().end <= now) {
            const auto done = sent.top();
            sent.pop();
            const bool success = done.answer.kind == server_answer_kind::success;
            runningOnServer -= success ? 1 : 0;
            result.answered += success ? 1 : 0;
            limiter.finished(done.start, done.answer, now);
        }
        const double rampProgress = std::min(1.0, static_cast<double>(now.time_since_epoch().count()) / static_cast<double>(RAMP_TIME.count()));
        const auto capacity = 1 + static_cast<std::uint32_t>(rampProgress * (COLD_SHARE.slots - 1));
        const auto latency = duration(static_cast<duration::rep>(SERVICE_TIME_US * (1.0 + 1.5 * (1.0 - rampProgress))));
        while (slowStart ? limiter.mayStart(COLD_SHARE, now) : limiter.running() < COLD_SHARE.slots) {
            const bool shed = runningOnServer >= capacity;
            result.overloads += shed ? 1 : 0;
            runningOnServer += shed ? 0 : 1;
            const auto time = shed ? SHED_ANSWER_TIME : latency;
            const auto kind = shed ? server_answer_kind::shed : server_answer_kind::success;
            sent.push({now + time, limiter.started(COLD_SHARE), {kind, time, std::chrono::milliseconds(6)}});
        }
    }
    return result;
}

json benchColdStart()
{
    json rows = json::array();
    fmt::print("\nCold start: capacity grows from 1 to {} requests at a time over {} s, {} s in all\n",
               COLD_SHARE.slots,
               RAMP_TIME.count() / 1000000,
               COLD_RUN_TIME.count() / 1000000);
    fmt::print("{:<22} {:>10} {:>10}\n", "limiter", "overloads", "answered");
    for (const bool slowStart : {false, true}) {
        const auto result = simulateColdStart(slowStart);
        const char *name = slowStart ? "with slow start" : "without slow start";
        fmt::print("{:<22} {:>10} {:>10}\n", name, result.overloads, result.answered);
        rows.push_back({{"limiter", name}, {"overloads", result.overloads}, {"answered", result.answered}});
    }
    return rows;
}

} // namespace

int main(int argc, char **argv)
{
    return runWithJsonOption(argc, argv, "bench_overload", [] {
        return json{{"loads", benchLoads()}, {"fairness", benchFairness()}, {"cold_start", benchColdStart()}};
    });
}
