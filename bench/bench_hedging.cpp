// Simulates hedging strategies on virtual time. A service time is seeded with the query, shard and attempt only, so all strategies get the same service times.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <fstream>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>

#include <fmt/format.h>
#include <getopt.h>

#include "core/json.h"
#include "policy/latency_estimator.h"
#include "policy/query_execution.h"

using namespace snipefall;

namespace {

constexpr double MEDIAN_US = 6000;
constexpr double DEFAULT_SIGMA = 0.4; // Of the log-normal service times without stragglers: p95 11.6 ms, p99 15.2 ms.
constexpr double DEFAULT_STRAGGLER_SHARE = 0.01;
constexpr double STRAGGLER_US = 200000;
constexpr std::uint32_t REPLICAS = 2;
constexpr std::uint64_t MIN_SAMPLES = 200;
constexpr duration FIRST_DELAY = std::chrono::milliseconds(50);
const latency_key KEY{service_id("bench"), version_id("1")};

struct hedging_strategy
{
    std::string name;
    bool budgeted = true;
    double p95Factor = 0; ///< Hedge delay as a multiple of the estimated p95 latency; 0 selects fixedDelay.
    duration fixedDelay{};
    double maxOpenShare = 1;
    double tokensPerOpenShard = 2;
    double maxHoldDelays = 1.5;
    std::uint8_t maxInFlight = 2;
    extra_load_limits limits{};
};

struct load
{
    std::uint32_t shards = 0;
    std::uint32_t queries = 0;
    double queriesPerSecond = 0;
    double sigma = DEFAULT_SIGMA;
    double stragglerShare = DEFAULT_STRAGGLER_SHARE;
};

struct result
{
    std::vector<double> latenciesMs;
    double extraPercent = 0;
    double peakPercent = 0; ///< Highest ratio of extra to first sub-requests over 1 s, taken whenever an extra sub-request is sent.
};

struct event
{
    time_point at;
    std::uint64_t order;
    std::uint32_t query;
    std::optional<send_action> subRequest; ///< The sub-request whose answer arrives; no value for the arrival of the query or its timer.

    bool operator>(const event &other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
};

double serviceTimeUs(const load &workload, std::uint32_t query, std::uint32_t shard, std::uint32_t attempt)
{
    std::seed_seq seed{query, shard, attempt};
    std::minstd_rand random(seed);
    if (std::uniform_real_distribution<>(0, 1)(random) < workload.stragglerShare) {
        return STRAGGLER_US * std::uniform_real_distribution<>(0.9, 1.1)(random);
    }
    return MEDIAN_US * std::exp(std::normal_distribution<>(0, workload.sigma)(random));
}

std::shared_ptr<const query_plan> makePlan(std::uint32_t shards)
{
    auto plan = std::make_shared<query_plan>();
    plan->snapshot = snapshot_id("snapshot-1");
    plan->servers.assign(REPLICAS, backend_server_id("server"));
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        plan->shards.push_back({1000, {server_index(shard % 2), server_index((shard + 1) % 2)}});
    }
    return plan;
}

class simulation
{
public:
    simulation(const load &workload, const hedging_strategy &chosen)
        : m_load(workload)
        , m_strategy(chosen)
        , m_plan(makePlan(workload.shards))
        , m_budget(chosen.budgeted ? chosen.limits : extra_load_limits{100, 100, 1'000'000})
        , m_queries(workload.queries)
    {
    }

    result run()
    {
        std::mt19937_64 random(1);
        std::exponential_distribution<> gap(m_load.queriesPerSecond / 1e6);
        double at = 1e6;
        for (std::uint32_t query = 0; query < m_load.queries; ++query) {
            at += gap(random);
            m_events.push({time_point(duration(static_cast<duration::rep>(at))), m_nextEventOrder++, query, std::nullopt});
        }
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            handle(next);
        }
        m_result.extraPercent = 100.0 * static_cast<double>(m_extraSubRequests) / static_cast<double>(m_firstSubRequests);
        std::sort(m_result.latenciesMs.begin(), m_result.latenciesMs.end());
        return std::move(m_result);
    }

private:
    struct query_state
    {
        std::unique_ptr<query_execution> execution;
        time_point start{};
        time_point scheduledTick = time_point::max();
        std::vector<std::uint8_t> attempts;
    };

    void handle(const event &next)
    {
        query_state &query = m_queries[next.query];
        m_actions.clear();
        if (!next.subRequest && query.start == time_point{}) {
            begin(query, next);
        } else if (!query.execution) {
            return;
        } else if (!next.subRequest) {
            query.scheduledTick = time_point::max();
            query.execution->tick(next.at, m_actions);
        } else {
            sub_answer answer{next.subRequest->sub, next.subRequest->shard, m_plan->snapshot, 1000, {}};
            if (const auto latency = query.execution->subRequestAnswered(std::move(answer), next.at, m_actions)) {
                m_estimator.record(KEY, *latency, next.at);
            }
        }
        perform(query, next);
    }

    void begin(query_state &query, const event &next)
    {
        query_options options;
        options.number = query_number(next.query + 1);
        options.hedges.delay = m_strategy.fixedDelay;
        if (m_strategy.p95Factor > 0) {
            const auto estimate = m_estimator.estimate(KEY, MIN_SAMPLES);
            options.hedges.delay =
                estimate ? duration(static_cast<duration::rep>(static_cast<double>(estimate->p95.count()) * m_strategy.p95Factor)) : FIRST_DELAY;
        }
        options.hedges.maxOpenShare = m_strategy.maxOpenShare;
        options.hedges.tokensPerOpenShard = m_strategy.tokensPerOpenShard;
        options.hedges.maxHoldDelays = m_strategy.maxHoldDelays;
        options.hedges.maxInFlight = m_strategy.maxInFlight;
        query.start = next.at;
        query.attempts.assign(m_load.shards, 0);
        query.execution = std::make_unique<query_execution>(m_plan, options, m_budget);
        query.execution->start(next.at, m_actions);
    }

    void perform(query_state &query, const event &now)
    {
        for (const cancel_action &cancelled : m_actions.cancels) {
            m_estimator.record(KEY, cancelled.age, now.at);
        }
        for (const send_action &sent : m_actions.sends) {
            countSend(sent.extra, now.at);
            const double time = serviceTimeUs(m_load, now.query, sent.shard.value(), query.attempts[sent.shard.value()]++);
            m_events.push({now.at + duration(static_cast<duration::rep>(time)), m_nextEventOrder++, now.query, sent});
        }
        if (m_actions.finish) {
            m_result.latenciesMs.push_back(static_cast<double>((now.at - query.start).count()) / 1000);
            query = {nullptr, query.start, time_point::max(), {}};
            return;
        }
        if (query.execution->nextTick() < query.scheduledTick) {
            query.scheduledTick = query.execution->nextTick();
            m_events.push({query.scheduledTick, m_nextEventOrder++, now.query, std::nullopt});
        }
    }

    void countSend(bool extra, time_point now)
    {
        (extra ? m_extraSubRequests : m_firstSubRequests) += 1;
        m_recentSends.emplace_back(now, extra);
        m_recentExtras += extra ? 1 : 0;
        while (m_recentSends.front().first <= now - std::chrono::seconds(1)) {
            m_recentExtras -= m_recentSends.front().second ? 1 : 0;
            m_recentSends.pop_front();
        }
        const auto firsts = static_cast<double>(m_recentSends.size() - m_recentExtras);
        if (extra) {
            m_result.peakPercent = std::max(m_result.peakPercent, 100.0 * static_cast<double>(m_recentExtras) / std::max(firsts, 1.0));
        }
    }

    load m_load;
    hedging_strategy m_strategy;
    std::shared_ptr<const query_plan> m_plan;
    extra_load_budget m_budget;
    latency_estimator m_estimator;
    std::vector<query_state> m_queries;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::deque<std::pair<time_point, bool>> m_recentSends;
    query_actions m_actions;
    result m_result;
    std::uint64_t m_nextEventOrder = 0;
    std::uint64_t m_firstSubRequests = 0;
    std::uint64_t m_extraSubRequests = 0;
    std::size_t m_recentExtras = 0;
};

double percentile(const std::vector<double> &sorted, double rank)
{
    const auto index = static_cast<std::size_t>(std::ceil(rank * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(index, 1, sorted.size()) - 1];
}

/** A maxOpenShare that never holds hedges back: the first shards that reach the delay can use up all tokens of the budget. */
constexpr double NO_HOLD = 1;
/** A tokensPerOpenShard that no budget reaches: hedges held back by maxOpenShare wait for maxHoldDelays, however many tokens are left. */
constexpr double NO_TOKEN_RELEASE = 1e9;

std::vector<hedging_strategy> strategies(bool tries)
{
    using std::chrono::milliseconds;
    std::vector<hedging_strategy> rows{
        {"no hedging", true, 0, std::chrono::seconds(10), NO_HOLD, 2, 1.5, 1},
        {"fixed 12 ms, one hedge, no budget", false, 0, milliseconds(12), NO_HOLD},
        {"fixed 12 ms, one hedge, budget", true, 0, milliseconds(12), NO_HOLD},
        {"p95, budget, hold (default settings)", true, 1, {}, 0.03, 2, 1.5, 3},
    };
    if (!tries) {
        return rows;
    }
    for (const int delay : {13, 14, 16, 20, 50}) {
        rows.push_back({fmt::format("fixed {} ms, one hedge, budget", delay), true, 0, milliseconds(delay), NO_HOLD});
    }
    rows.push_back({"p95, no hold, one hedge", true, 1, {}, NO_HOLD});
    rows.push_back({"p95, no hold, two hedges", true, 1, {}, NO_HOLD, 2, 1.5, 3});
    rows.push_back({"p95, no hold, three hedges", true, 1, {}, NO_HOLD, 2, 1.5, 4});
    rows.push_back({"1.25 p95, no hold, two hedges", true, 1.25, {}, NO_HOLD, 2, 1.5, 3});
    rows.push_back({"p95, hold 3% for 2 delays, one hedge", true, 1, {}, 0.03, NO_TOKEN_RELEASE, 2, 2});
    rows.push_back({"p95, hold 3% for 2 delays, two hedges", true, 1, {}, 0.03, NO_TOKEN_RELEASE, 2, 3});
    rows.push_back({"p95, hold 5% for 2 delays, two hedges", true, 1, {}, 0.05, NO_TOKEN_RELEASE, 2, 3});
    rows.push_back({"p95, hold 3% or 5 tokens each, two hedges", true, 1, {}, 0.03, 5, 1.5, 3});
    rows.push_back({"0.8 p95, hold 3% or 5 tokens each, two", true, 0.8, {}, 0.03, 5, 1.5, 3});
    rows.push_back({"0.8 p95, hold 3% or 2 tokens each, two", true, 0.8, {}, 0.03, 2, 1.5, 3});
    return rows;
}

constexpr std::uint32_t POLICY_COST_QUERIES = 2000;

/** Measures the time that query_execution takes per sub-request event, in nanoseconds of real time. The policy itself runs on virtual time. */
double policyNsPerEvent(std::uint32_t shards)
{
    const auto plan = makePlan(shards);
    extra_load_budget budget;
    query_actions actions;
    std::vector<send_action> sends;
    std::uint64_t events = 0;
    const auto before = std::chrono::steady_clock::now();
    for (std::uint32_t number = 1; number <= POLICY_COST_QUERIES; ++number) {
        time_point now(std::chrono::milliseconds(20 * number));
        query_options options;
        options.number = query_number(number);
        options.hedges.delay = std::chrono::milliseconds(10);
        query_execution execution(plan, options, budget);
        actions.clear();
        execution.start(now, actions);
        sends = actions.sends;
        events += sends.size();
        for (const send_action &sent : sends) {
            now += duration(30);
            actions.clear();
            execution.subRequestAnswered({sent.sub, sent.shard, plan->snapshot, 1000, {}}, now, actions);
            events += 1 + actions.sends.size() + actions.cancels.size();
        }
    }
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - before).count() / static_cast<double>(events);
}

json runLoad(const load &workload, bool tries)
{
    json rows = json::array();
    fmt::print("\n{} shards, {} queries at {}/s; latency in ms\n", workload.shards, workload.queries, workload.queriesPerSecond);
    fmt::print("{:<42} {:>8} {:>8} {:>8} {:>8} {:>8} {:>10}\n", "strategy", "p50", "p95", "p99", "p99.9", "extra %", "peak 1s %");
    for (const hedging_strategy &chosen : strategies(tries)) {
        const result measured = simulation(workload, chosen).run();
        const auto at = [&](double rank) { return percentile(measured.latenciesMs, rank); };
        fmt::print("{:<42} {:>8.1f} {:>8.1f} {:>8.1f} {:>8.1f} {:>8.2f} {:>10.2f}\n",
                   chosen.name,
                   at(0.5),
                   at(0.95),
                   at(0.99),
                   at(0.999),
                   measured.extraPercent,
                   measured.peakPercent);
        rows.push_back({{"shards", workload.shards},
                        {"strategy", chosen.name},
                        {"p50_ms", at(0.5)},
                        {"p95_ms", at(0.95)},
                        {"p99_ms", at(0.99)},
                        {"p99_9_ms", at(0.999)},
                        {"extra_percent", measured.extraPercent},
                        {"peak_second_percent", measured.peakPercent}});
    }
    return rows;
}

} // namespace

int main(int argc, char **argv)
{
    const option options[] = {{"json", required_argument, nullptr, 'j'},
                              {"queries", required_argument, nullptr, 'q'},
                              {"sigma", required_argument, nullptr, 's'},
                              {"stragglers", required_argument, nullptr, 'r'},
                              {"tries", no_argument, nullptr, 't'},
                              {nullptr, 0, nullptr, 0}};
    std::string jsonFile;
    std::uint32_t queries = 20000;
    bool tries = false;
    double sigma = DEFAULT_SIGMA;
    double stragglers = DEFAULT_STRAGGLER_SHARE;
    for (int chosen = 0; (chosen = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (chosen == 'j') {
            jsonFile = optarg;
        } else if (chosen == 'q') {
            queries = static_cast<std::uint32_t>(std::max(1UL, std::strtoul(optarg, nullptr, 10)));
        } else if (chosen == 's') {
            sigma = std::strtod(optarg, nullptr);
        } else if (chosen == 'r') {
            stragglers = std::strtod(optarg, nullptr);
        } else if (chosen == 't') {
            tries = true;
        } else {
            fmt::print(stderr, "usage: bench_hedging [--queries N] [--sigma S] [--stragglers SHARE] [--tries] [--json FILE]\n");
            return 2;
        }
    }
    json report{{"rows", json::array()}, {"policy_ns_per_event", json::object()}};
    for (const load &workload : {load{60, queries, 100, sigma, stragglers}, load{350, queries, 200, sigma, stragglers}}) {
        for (const json &row : runLoad(workload, tries)) {
            report["rows"].push_back(row);
        }
    }
    fmt::print("\n");
    for (const std::uint32_t shards : {60U, 350U}) {
        const double cost = policyNsPerEvent(shards);
        fmt::print("policy time per sub-request event with {} shards: {:.0f} ns\n", shards, cost);
        report["policy_ns_per_event"][std::to_string(shards)] = cost;
    }
    if (!jsonFile.empty()) {
        std::ofstream(jsonFile) << report.dump(2) << "\n";
    }
    return 0;
}
