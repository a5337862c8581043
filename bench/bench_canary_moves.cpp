#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <vector>

#include "bench/json_option.h"
#include "policy/fault_detector.h"
#include "policy/timed_move_controller.h"

using namespace snipefall;

namespace {

constexpr std::size_t MOVES = 100;
constexpr std::size_t NODES = 7;
constexpr canary_limits LIMITS{0.1, 50};
constexpr duration TICK = std::chrono::milliseconds(10);
constexpr duration DECISION_INTERVAL = std::chrono::milliseconds(250);
/** Nodes exchange their observations once a second, and at each decision once all requests go to the target version. */
constexpr duration EXCHANGE_INTERVAL = std::chrono::seconds(1);
/** Time until all nodes have received a changed move record from the store. */
constexpr duration RECORD_PROPAGATION_TIME = std::chrono::milliseconds(500);
constexpr double BASE_ERROR_RATE = 0.002;
const time_point START{std::chrono::hours(1)};

struct scenario
{
    const char *name;
    double addedErrors; ///< Share of the target version's answers that the fault makes fail.
    double latencyFactor; ///< Factor by which the fault multiplies the target version's latency.
    double faultStart; ///< Start of the fault as a fraction of the time limit, from 0 to 1.
    bool onlyAtFullShare;
};

constexpr std::array SCENARIOS{
    scenario{"good", 0, 1, 0, false},
    scenario{"errors 30%", 0.3, 1, 0, false},
    scenario{"errors 30%, late", 0.3, 1, 0.6, false},
    scenario{"errors 50%, under load", 0.5, 1, 0, true},
    scenario{"4 times slower", 0, 4, 0, false},
    scenario{"4 times slower, late", 0, 4, 0.6, false},
};

struct traffic
{
    duration timeLimit;
    double requestsPerSecond; ///< Sum over all nodes.
};

constexpr std::array TRAFFIC{
    traffic{std::chrono::seconds(12), 20},
    traffic{std::chrono::seconds(12), 90},
    traffic{std::chrono::seconds(30), 90},
};

/** How the target version's share grows: as timed_move_controller decides or, as a baseline, in fixed steps of equal length up to 100%. */
enum class rule
{
    canary,
    steps,
};

struct outcome_of_move
{
    bool finished = false;
    double totalAnswers = 0;
    double targetAnswers = 0;
    double badAnswers = 0; ///< Answers of the target version that failed or were slowed while the fault was active.
};

double shareOf(rule growth, const timed_move_controller &move, std::uint64_t answers, double elapsedFraction, time_point now)
{
    if (growth == rule::canary) {
        return move.shareAt(answers, now);
    }
    constexpr std::array SHARES{0.05, 0.1, 0.25, 0.5, 1.0};
    return SHARES[std::min(static_cast<std::size_t>(elapsedFraction * SHARES.size()), SHARES.size() - 1)];
}

outcome_of_move run(const scenario &fault, const traffic &load, rule growth, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::lognormal_distribution<double> latencyMs(std::log(20.0), 0.4);
    move_record record;
    record.service = service_id("service");
    record.to = version_id("v2");
    record.moveId = "move";
    record.sharePercent = 1;
    const timed_move_controller move(START, load.timeLimit, {LIMITS.share, LIMITS.slack / NODES});
    std::vector<fault_detector> detectors(NODES, fault_detector(record));
    std::vector<std::uint64_t> answers(NODES, 0);
    std::array<move_observations, NODES> exchanged;
    outcome_of_move result;
    time_point stopAt = time_point::max();
    const double perTick = load.requestsPerSecond * std::chrono::duration<double>(TICK).count() / NODES;
    for (time_point now = START; now < START + load.timeLimit; now += TICK) {
        const double elapsedFraction = static_cast<double>((now - START).count()) / static_cast<double>(load.timeLimit.count());
        if (now >= stopAt) {
            break;
        }
        for (std::size_t node = 0; node < NODES; ++node) {
            const double share = shareOf(growth, move, answers[node], elapsedFraction, now);
            if (uniform(random) >= perTick) {
                continue;
            }
            sub_request_sample sample;
            sample.route = uniform(random) < 0.7 ? "first" : "second";
            sample.newVersion = uniform(random) < share;
            const bool faulty = sample.newVersion && elapsedFraction >= fault.faultStart && (!fault.onlyAtFullShare || share >= 1);
            sample.failed = uniform(random) < BASE_ERROR_RATE + (faulty ? fault.addedErrors : 0);
            sample.latency = duration(static_cast<std::int64_t>(latencyMs(random) * 1000 * (faulty ? fault.latencyFactor : 1)));
            sample.at = now;
            detectors[node].record(sample);
            ++answers[node];
            result.totalAnswers += 1;
            result.targetAnswers += sample.newVersion ? 1 : 0;
            result.badAnswers += faulty && (sample.failed || fault.latencyFactor > 1) ? 1 : 0;
        }
        if ((now - START) % DECISION_INTERVAL != duration::zero() || stopAt != time_point::max()) {
            continue;
        }
        const bool atFullShare = move.phaseAt(now) != timed_move_controller::phase::canary;
        for (std::size_t node = 0; node < NODES; ++node) {
            if (atFullShare || (now - START) % EXCHANGE_INTERVAL == duration::zero()) {
                exchanged[node] = detectors[node].observations(now);
            }
        }
        for (std::size_t node = 0; node < NODES; ++node) {
            move_observations sum = detectors[node].observations(now);
            for (std::size_t other = 0; other < NODES; ++other) {
                if (other != node) {
                    sum.merge(exchanged[other]);
                }
            }
            const timed_move_controller::decision decision = move.decide(sum, 2, now);
            if (decision.action == move_action::roll_back || detectors[node].check(now)) {
                stopAt = now + RECORD_PROPAGATION_TIME;
                result.finished = false;
                break;
            }
            result.finished = result.finished || decision.action == move_action::finish;
        }
        if (result.finished) {
            break;
        }
    }
    return result;
}

json measure()
{
    json document = json::array();
    fmt::print("{:8} {:24} {:>8} {:>6} {:>9} {:>12} {:>14} {:>10}\n",
               "rule",
               "target version",
               "limit s",
               "per s",
               "finished",
               "share, mean",
               "over the bound",
               "bad, p95");
    for (const rule growth : {rule::canary, rule::steps}) {
        for (const scenario &fault : SCENARIOS) {
            for (const traffic &load : TRAFFIC) {
                std::size_t finished = 0;
                std::size_t overBound = 0;
                double share = 0;
                std::vector<double> bad;
                for (std::uint64_t seed = 0; seed < MOVES; ++seed) {
                    const outcome_of_move result = run(fault, load, growth, seed + 1);
                    const double expected = load.requestsPerSecond * std::chrono::duration<double>(load.timeLimit).count();
                    finished += result.finished ? 1 : 0;
                    overBound += result.targetAnswers > LIMITS.share * expected + LIMITS.slack ? 1 : 0;
                    share += result.targetAnswers / std::max(result.totalAnswers, 1.0) / MOVES;
                    bad.push_back(result.badAnswers);
                }
                std::sort(bad.begin(), bad.end());
                const double seconds = std::chrono::duration<double>(load.timeLimit).count();
                const char *name = growth == rule::canary ? "canary" : "steps";
                fmt::print("{:8} {:24} {:8.0f} {:6.0f} {:9} {:12.3f} {:14} {:10.0f}\n",
                           name,
                           fault.name,
                           seconds,
                           load.requestsPerSecond,
                           finished,
                           share,
                           overBound,
                           bad[MOVES * 95 / 100]);
                document.push_back({{"rule", name},
                                    {"target", fault.name},
                                    {"limit_s", seconds},
                                    {"per_s", load.requestsPerSecond},
                                    {"finished", finished},
                                    {"share", share},
                                    {"over_bound", overBound},
                                    {"bad_p95", bad[MOVES * 95 / 100]}});
            }
        }
    }
    return document;
}

} // namespace

int main(int argc, char **argv)
{
    return runWithJsonOption(argc, argv, "bench_canary_moves", measure);
}
