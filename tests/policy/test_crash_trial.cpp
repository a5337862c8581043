#include <random>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/crash_trial.h"
#include "policy/request_quarantine.h"

using namespace snipefall;

namespace {

constexpr std::uint64_t NOW_MS = 1'800'000'000'000;
constexpr std::uint64_t SECOND_MS = 1'000;
constexpr std::uint64_t HOUR_MS = 3'600 * SECOND_MS;

struct decision_case
{
    const char *name;
    std::optional<crash_trial_record> record;
    unsigned trials; ///< Count in the new record; 0 if no trial is allowed.
};

std::ostream &operator<<(std::ostream &out, const decision_case &row)
{
    return out << row.name;
}

const decision_case DECISION_CASES[] = {
    {"no trial so far", std::nullopt, 1},
    {"a running trial", crash_trial_record{1, NOW_MS - SECOND_MS}, 0},
    {"a trial of a node whose clock is ahead", crash_trial_record{1, NOW_MS + 20 * SECOND_MS}, 0},
    {"a trial long enough ago", crash_trial_record{1, NOW_MS - 61 * SECOND_MS}, 2},
    {"all trials used up", crash_trial_record{2, NOW_MS - HOUR_MS}, 0},
    {"all trials used up on a node whose clock is ahead", crash_trial_record{2, NOW_MS + 20 * SECOND_MS}, 0},
    {"trials before the retention", crash_trial_record{2, NOW_MS - 7 * HOUR_MS}, 1},
    {"a trial that was given back", crash_trial_record{0, NOW_MS - SECOND_MS}, 1},
    {"a second trial that was given back", crash_trial_record{1, NOW_MS - 65 * SECOND_MS}, 2},
    {"an unreadable record", crash_trial_record{}, 1},
};

struct verdict_case
{
    const char *name;
    crash_trial_observation observed;
    crash_trial_verdict expected;
};

std::ostream &operator<<(std::ostream &out, const verdict_case &row)
{
    return out << row.name;
}

const verdict_case VERDICT_CASES[] = {
    {"answered", {.answered = true, .mayHaveRun = true}, crash_trial_verdict::harmless},
    {"one shard answered, another one crashed", {.answered = true, .mayHaveRun = true, .connectionLost = true}, crash_trial_verdict::harmless},
    {"not sent", {}, crash_trial_verdict::inconclusive},
    {"server crashed alone", {.mayHaveRun = true, .connectionLost = true, .serverGone = true}, crash_trial_verdict::crashed},
    {"server crashed with its service",
     {.mayHaveRun = true, .connectionLost = true, .serverGone = true, .siblingGone = true},
     crash_trial_verdict::inconclusive},
    {"server crashed and is back", {.mayHaveRun = true, .connectionLost = true, .serverAnswered = true}, crash_trial_verdict::counted},
    {"connection reset beside the loss of another server",
     {.mayHaveRun = true, .connectionLost = true, .serverAnswered = true, .siblingGone = true},
     crash_trial_verdict::counted},
    {"timed out on a server that works", {.mayHaveRun = true, .serverAnswered = true}, crash_trial_verdict::inconclusive},
    {"timed out on a server that is silent", {.mayHaveRun = true}, crash_trial_verdict::counted},
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_trial_tests)

// Guards against more trials than a request that crashes its servers may get, and against a request that gets none for good.
BOOST_DATA_TEST_CASE(trialsAreBoundedByTheRecord, boost::unit_test::data::make(DECISION_CASES), row)
{
    const crash_trial_decision decision = decideCrashTrial(row.record, NOW_MS);
    BOOST_TEST(decision.record.has_value() == (row.trials > 0));
    if (decision.record) {
        BOOST_TEST(decision.record->trials == row.trials);
        BOOST_TEST(decision.record->lastMs == NOW_MS);
    } else {
        BOOST_TEST((decision.wait >= CRASH_TRIAL_PAUSE));
        BOOST_TEST((decision.wait <= request_quarantine::RETENTION + std::chrono::minutes(1)));
    }
}

// Guards against a crash of a whole service that is taken for one by the request, and against a crashing request that is tried again and again.
BOOST_DATA_TEST_CASE(verdictFollowsEvidence, boost::unit_test::data::make(VERDICT_CASES), row)
{
    BOOST_TEST((judgeCrashTrial(row.observed) == row.expected));
}

// Guards against trials by nodes that can't reach each other or have restarted: all of them together run no more than MAX_CRASH_TRIALS within the retention.
BOOST_AUTO_TEST_CASE(nodesWithoutContactShareTheBound)
{
    std::mt19937_64 random(20261205);
    constexpr std::size_t NODES = 75;
    std::vector<std::uint64_t> askAgainMs(NODES, 0);
    std::optional<crash_trial_record> stored;
    unsigned trials = 0;
    std::size_t reads = 0;
    for (std::uint64_t elapsedMs = 0; elapsedMs < 5 * HOUR_MS; elapsedMs += SECOND_MS) {
        const std::size_t node = random() % NODES;
        if (random() % 1000 == 0) {
            askAgainMs[node] = 0; // The node restarts and forgets its wait.
        }
        if (elapsedMs < askAgainMs[node]) {
            continue;
        }
        ++reads;
        const crash_trial_decision decision = decideCrashTrial(stored, NOW_MS + elapsedMs);
        if (decision.record) {
            stored = decision.record;
            ++trials;
        }
        askAgainMs[node] = elapsedMs + static_cast<std::uint64_t>(decision.wait / std::chrono::milliseconds(1));
    }
    BOOST_TEST(trials == MAX_CRASH_TRIALS);
    // A node reads the record rarely while the request is refused.
    BOOST_TEST(reads < NODES * 20);
}

BOOST_AUTO_TEST_SUITE_END()
