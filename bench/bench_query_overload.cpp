#include <algorithm>
#include <string>

#include <fmt/core.h>

#include "bench/json_option.h"
#include "bench/query_overload_simulation.h"
#include "core/json.h"
#include "policy/query_admission.h"

using namespace snipefall;
using namespace snipefall::query_overload;

namespace {

constexpr double CALM_QUERIES_PER_SECOND = 90;
constexpr duration WARM_UP = std::chrono::seconds(10);
constexpr duration MEASURED = std::chrono::seconds(30);

/** Admits a fixed rate on each node, which no node could know in advance. */
class fixed_rate
{
public:
    explicit fixed_rate(std::uint64_t) { }

    static double s_queriesPerSecond; ///< Of one node.

    bool admit(const request_route &, time_point now)
    {
        m_credit = std::min(m_credit + std::chrono::duration<double>(now - m_updated).count() * s_queriesPerSecond, 2.0);
        m_updated = now;
        if (m_credit < 1) {
            return false;
        }
        m_credit -= 1;
        return true;
    }
    void recordResponse(const request_route &, duration, time_point) { }
    duration retryAfter(const request_route &route, const request_times &, time_point) { return route.targetLatency / 4; }

private:
    double m_credit = 2;
    time_point m_updated{};
};

double fixed_rate::s_queriesPerSecond = 0;

template <admission_policy Admission>
phase_result play(double multiple)
{
    const double queriesPerSecond = CALM_QUERIES_PER_SECOND * multiple;
    return simulation<Admission>({}).run({{WARM_UP, CALM_QUERIES_PER_SECOND}, {WARM_UP, queriesPerSecond}, {MEASURED, queriesPerSecond}})[2];
}

phase_result playBestFixedRate(double multiple)
{
    phase_result best;
    for (double rate = 60; rate <= 300; rate += 10) {
        fixed_rate::s_queriesPerSecond = rate / topology().nodes;
        const phase_result result = play<fixed_rate>(multiple);
        best = result.inTime > best.inTime ? result : best;
    }
    return best;
}

struct named_policy
{
    const char *name;
    phase_result (*run)(double);
};

const named_policy POLICIES[] = {
    {"admit all", &play<admit_all>},
    {"best fixed rate", &playBestFixedRate},
    {"query_admission", &play<query_admission>},
};

json benchQueryOverload()
{
    json rows = json::array();
    const double seconds = std::chrono::duration<double>(MEASURED).count();
    fmt::print("Queries over 20 shards of 2 servers with 3 slots, 7 nodes, {} queries/s in calm times; per second of a burst\n", CALM_QUERIES_PER_SECOND);
    fmt::print("{:>5}  {:<16} {:>8} {:>8} {:>8} {:>9} {:>7}\n", "load", "policy", "asked", "in time", "late", "rejected", "failed");
    for (const double multiple : {1.0, 1.5, 2.0, 2.5, 3.0, 4.0}) {
        for (const named_policy &policy : POLICIES) {
            const phase_result result = policy.run(multiple);
            fmt::print("{:>5.1f}  {:<16} {:>8.0f} {:>8.0f} {:>8.0f} {:>9.0f} {:>7.0f}\n",
                       multiple,
                       policy.name,
                       static_cast<double>(result.arrived) / seconds,
                       static_cast<double>(result.inTime) / seconds,
                       static_cast<double>(result.late) / seconds,
                       static_cast<double>(result.rejected) / seconds,
                       static_cast<double>(result.failed) / seconds);
            rows.push_back({{"load", multiple},
                            {"policy", policy.name},
                            {"asked", result.arrived},
                            {"in_time", result.inTime},
                            {"late", result.late},
                            {"rejected", result.rejected},
                            {"failed", result.failed}});
        }
    }
    return rows;
}

} // namespace

int main(int argc, char **argv)
{
    return runWithJsonOption(argc, argv, "bench_query_overload", [] { return benchQueryOverload(); });
}
