#include <string>

#include <fmt/core.h>

#include "bench/json_option.h"
#include "bench/reset_to_one_limiter.h"
#include "bench/shedding_simulation.h"
#include "core/json.h"
#include "policy/server_limiter.h"

using namespace snipefall;
using namespace snipefall::shedding;

namespace {

constexpr duration RANDOM_RUN_TIME = std::chrono::seconds(60);
constexpr duration COLD_RUN_TIME = std::chrono::seconds(10);

struct named_limiter
{
    const char *name;
    shed_result (*run)(simulated_server, std::uint32_t, double, duration);
};

const named_limiter LIMITERS[] = {
    {"fall to 1", &simulateShedding<reset_to_one_limiter>},
    {"server_limiter", &simulateShedding<server_limiter>},
};

struct topology
{
    std::uint32_t slots;
    std::uint32_t nodes;
};

const topology TOPOLOGIES[] = {{2, 1}, {2, 2}, {3, 1}, {6, 1}, {6, 2}};

json benchRandomShedding()
{
    json rows = json::array();
    fmt::print("Random shedding, {} s, service time {} ms\n", RANDOM_RUN_TIME.count() / 1000000, SERVICE_TIME.count() / 1000);
    fmt::print("{:>5} {:>5} {:>6}  {:<16} {:>10} {:>12} {:>8}\n", "slots", "nodes", "shed %", "limiter", "answers/s", "of no shed %", "shed %");
    for (const auto &[slots, nodes] : TOPOLOGIES) {
        for (const named_limiter &limiter : LIMITERS) {
            double unshedAnswersPerSecond = 0.0;
            for (const double share : {0.0, 0.01, 0.05, 0.1, 0.2}) {
                const shed_result result = limiter.run({slots, share}, nodes, 0.0, RANDOM_RUN_TIME);
                const double answersPerSecond = static_cast<double>(result.answered) * 1e6 / static_cast<double>(RANDOM_RUN_TIME.count());
                unshedAnswersPerSecond = share == 0.0 ? answersPerSecond : unshedAnswersPerSecond;
                const double percent = 100.0 * answersPerSecond / unshedAnswersPerSecond;
                fmt::print("{:>5} {:>5} {:>6.0f}  {:<16} {:>10.1f} {:>12.1f} {:>8.2f}\n",
                           slots,
                           nodes,
                           100.0 * share,
                           limiter.name,
                           answersPerSecond,
                           percent,
                           result.shedPercent());
                rows.push_back({{"slots", slots},
                                {"nodes", nodes},
                                {"shed_share", share},
                                {"limiter", limiter.name},
                                {"answers_per_s", answersPerSecond},
                                {"percent_of_unshed", percent},
                                {"shed_percent", result.shedPercent()}});
            }
        }
    }
    return rows;
}

struct cold_case
{
    const char *name;
    duration coldSince;
    double load; ///< Fraction of the warm server's throughput; 0 means that a request is always waiting.
};

const cold_case COLD_CASES[] = {
    {"from start", duration(0), 0.0},
    {"after 2 s", std::chrono::seconds(2), 0.0},
    {"after 2 s", std::chrono::seconds(2), 0.6},
    {"after 2 s", std::chrono::seconds(2), 0.3},
    {"after 2 s", std::chrono::seconds(2), 0.1},
};

json benchColdServers()
{
    json rows = json::array();
    fmt::print("\nCold server: capacity grows from {} to all slots over {} s, {} s in all\n",
               INITIAL_CAPACITY,
               RAMP_TIME.count() / 1000000,
               COLD_RUN_TIME.count() / 1000000);
    fmt::print("{:>5} {:>5}  {:<12} {:>6}  {:<16} {:>9} {:>6} {:>13}\n", "slots", "nodes", "cold", "load", "limiter", "answered", "shed", "ramp's shed %");
    for (const auto &[slots, nodes] : TOPOLOGIES) {
        for (const cold_case &row : COLD_CASES) {
            for (const named_limiter &limiter : LIMITERS) {
                const shed_result result = limiter.run({slots, 0.0, time_point(row.coldSince)}, nodes, row.load, COLD_RUN_TIME);
                fmt::print("{:>5} {:>5}  {:<12} {:>6.2f}  {:<16} {:>9} {:>6} {:>13.2f}\n",
                           slots,
                           nodes,
                           row.name,
                           row.load,
                           limiter.name,
                           result.answered,
                           result.shed,
                           result.rampShedPercent());
                rows.push_back({{"slots", slots},
                                {"nodes", nodes},
                                {"cold", row.name},
                                {"load", row.load},
                                {"limiter", limiter.name},
                                {"answered", result.answered},
                                {"shed", result.shed},
                                {"ramp_shed_percent", result.rampShedPercent()}});
            }
        }
    }
    return rows;
}

} // namespace

int main(int argc, char **argv)
{
    return runWithJsonOption(argc, argv, "bench_shedding", [] { return json{{"random", benchRandomShedding()}, {"cold", benchColdServers()}}; });
}
