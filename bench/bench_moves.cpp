#include <atomic>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>

#include <fmt/format.h>
#include <getopt.h>

#include "bench/move_simulation.h"
#include "core/json.h"

using namespace snipefall;
using namespace snipefall::bench;

namespace {

struct bench_options
{
    std::size_t movesPerClass = 40;
    std::uint64_t seed = 1;
    unsigned threads = 4;
    std::string jsonFile;
};

/** Totals of the moves of one class under one decision rule. */
struct class_summary
{
    std::size_t moves = 0;
    std::size_t finished = 0;
    std::size_t rolledBack = 0;
    std::uint64_t queries = 0;
    std::uint64_t badQueries = 0;
    std::vector<double> stopSeconds;
    std::vector<double> finishSeconds;
    std::uint32_t largestFaultyShare = 0;
};

void printUsage()
{
    fmt::print("bench_moves [--moves N] [--seed N] [--threads N] [--json FILE]\n"
               "Simulates N seeded moves of each class under the controller and under a baseline with a fixed error count.\n");
}

bench_options parseOptions(int argc, char **argv)
{
    bench_options options;
    const option names[] = {{"moves", required_argument, nullptr, 'm'},
                            {"seed", required_argument, nullptr, 's'},
                            {"threads", required_argument, nullptr, 't'},
                            {"json", required_argument, nullptr, 'j'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
    for (int found = 0; (found = getopt_long(argc, argv, "", names, nullptr)) != -1;) {
        switch (found) {
        case 'm':
            options.movesPerClass = std::max(1UL, std::strtoul(optarg, nullptr, 10));
            break;
        case 's':
            options.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 't':
            options.threads = std::clamp(static_cast<unsigned>(std::strtoul(optarg, nullptr, 10)), 1U, 8U);
            break;
        case 'j':
            options.jsonFile = optarg;
            break;
        default:
            printUsage();
            std::exit(found == 'h' ? 0 : 2);
        }
    }
    return options;
}

/** Returns the results by class, then by move. Both decision rules get the same seeds. */
std::vector<std::vector<move_result>> simulate(const bench_options &options, move_decision_rule decisionRule)
{
    std::vector<std::vector<move_result>> results(SCENARIOS.size(), std::vector<move_result>(options.movesPerClass));
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t i = next++; i < SCENARIOS.size() * options.movesPerClass; i = next++) {
            const std::size_t scenario = i / options.movesPerClass;
            const std::size_t move = i % options.movesPerClass;
            results[scenario][move] = move_simulation(SCENARIOS[scenario], decisionRule, options.seed * 1'000'003 + i).run();
        }
    };
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < options.threads; ++i) {
        threads.emplace_back(work);
    }
    threads.clear();
    return results;
}

class_summary summarize(const std::vector<move_result> &results)
{
    class_summary summary;
    for (const move_result &result : results) {
        ++summary.moves;
        summary.finished += result.finishedInTime ? 1 : 0;
        summary.rolledBack += result.rolledBack ? 1 : 0;
        summary.queries += result.queries;
        summary.badQueries += result.badQueries;
        summary.largestFaultyShare = std::max(summary.largestFaultyShare, result.largestFaultyShare);
        if (result.stopSeconds >= 0) {
            summary.stopSeconds.push_back(result.stopSeconds);
        }
        if (result.finishedInTime) {
            summary.finishSeconds.push_back(static_cast<double>(result.finishedMs) / 1'000);
        }
    }
    std::sort(summary.stopSeconds.begin(), summary.stopSeconds.end());
    std::sort(summary.finishSeconds.begin(), summary.finishSeconds.end());
    return summary;
}

double quantile(const std::vector<double> &sorted, double share)
{
    return sorted.empty() ? -1 : sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

/** Prints the first moves of a class with a wrong decision: a good version rolled back or a bad version kept. */
void printWrongDecisions(const move_scenario &scenario, const std::vector<move_result> &results)
{
    constexpr int MAX_LINES = 6;
    int lines = 0;
    for (std::size_t i = 0; i < results.size() && lines < MAX_LINES; ++i) {
        if (results[i].rolledBack == scenario.good) {
            fmt::print("  {} {}: {}\n", scenario.name, i, results[i].reason);
            ++lines;
        }
    }
}

json report(const char *decisionRule, const std::vector<std::vector<move_result>> &results)
{
    fmt::print("\n{}\n{:<26}{:>6}{:>10}{:>12}{:>12}{:>10}{:>10}{:>10}{:>10}{:>8}\n",
               decisionRule,
               "class",
               "moves",
               "finished",
               "rolled back",
               "bad queries",
               "bad %",
               "stop p50",
               "stop p95",
               "done p50",
               "share");
    json classes = json::array();
    std::size_t good = 0;
    std::size_t goodRolledBack = 0;
    std::size_t bad = 0;
    std::size_t badKept = 0;
    for (std::size_t i = 0; i < SCENARIOS.size(); ++i) {
        const class_summary summary = summarize(results[i]);
        const double badPercent = 100.0 * static_cast<double>(summary.badQueries) / static_cast<double>(std::max<std::uint64_t>(1, summary.queries));
        fmt::print("{:<26}{:>6}{:>10}{:>12}{:>12}{:>10.3f}{:>10.1f}{:>10.1f}{:>10.1f}{:>8}\n",
                   SCENARIOS[i].name,
                   summary.moves,
                   summary.finished,
                   summary.rolledBack,
                   summary.badQueries,
                   badPercent,
                   quantile(summary.stopSeconds, 0.5),
                   quantile(summary.stopSeconds, 0.95),
                   quantile(summary.finishSeconds, 0.5),
                   summary.largestFaultyShare);
        (SCENARIOS[i].good ? good : bad) += summary.moves;
        goodRolledBack += SCENARIOS[i].good ? summary.rolledBack : 0;
        badKept += SCENARIOS[i].good ? 0 : summary.moves - summary.rolledBack;
        classes.push_back({{"class", SCENARIOS[i].name},
                           {"moves", summary.moves},
                           {"finished", summary.finished},
                           {"rolled_back", summary.rolledBack},
                           {"queries", summary.queries},
                           {"bad_queries", summary.badQueries},
                           {"stop_seconds_p50", quantile(summary.stopSeconds, 0.5)},
                           {"stop_seconds_p95", quantile(summary.stopSeconds, 0.95)},
                           {"done_seconds_p50", quantile(summary.finishSeconds, 0.5)},
                           {"largest_faulty_share_percent", summary.largestFaultyShare}});
    }
    fmt::print("good versions rolled back: {} of {}; bad versions kept: {} of {}\n", goodRolledBack, good, badKept, bad);
    for (std::size_t i = 0; i < SCENARIOS.size(); ++i) {
        printWrongDecisions(SCENARIOS[i], results[i]);
    }
    return {
        {"judge", decisionRule}, {"good", good}, {"good_rolled_back", goodRolledBack}, {"bad", bad}, {"bad_kept", badKept}, {"classes", std::move(classes)}};
}

} // namespace

int main(int argc, char **argv)
{
    const bench_options options = parseOptions(argc, argv);
    fmt::print("{} classes, {} moves each, seed {}; times in seconds, -1: none\n", SCENARIOS.size(), options.movesPerClass, options.seed);
    json document = {{"seed", options.seed}, {"moves_per_class", options.movesPerClass}, {"judges", json::array()}};
    document["judges"].push_back(report("controller", simulate(options, move_decision_rule::controller)));
    document["judges"].push_back(report("fixed error count", simulate(options, move_decision_rule::error_count)));
    if (options.jsonFile.empty()) {
        return 0;
    }
    std::ofstream file(options.jsonFile);
    file << document.dump(2) << '\n';
    if (!file.flush()) {
        fmt::print(stderr, "cannot write {}\n", options.jsonFile);
        return 1;
    }
    return 0;
}
