#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "bench/reset_to_one_limiter.h"
#include "bench/shedding_simulation.h"
#include "policy/server_limiter.h"

using namespace snipefall;
using std::chrono::milliseconds;

namespace {

constexpr permit_share SHARE{4, 30};
constexpr duration MEDIAN = milliseconds(6);
constexpr time_point START{std::chrono::seconds(10)};

void answer(server_limiter &limiter, server_answer_kind kind, duration latency, int count, time_point now)
{
    for (int i = 0; i < count; ++i) {
        limiter.finished(limiter.started(SHARE), {kind, latency, MEDIAN}, now);
    }
}

/** Consecutive shed answers that reach the overload score: of a warm server, and of one that gets a pause after each answer. */
constexpr int OVERLOADING_SHEDS = (OVERLOAD_SCORE + SHED_WEIGHT - 1) / SHED_WEIGHT;
constexpr int PAUSED_OVERLOADING_SHEDS = (TRIAL_OVERLOAD_SCORE + SHED_WEIGHT - 1) / SHED_WEIGHT;

void answerShed(server_limiter &limiter, int count)
{
    answer(limiter, server_answer_kind::shed, {}, count, START);
}

server_limiter warmLimiter()
{
    server_limiter limiter(1);
    answer(limiter, server_answer_kind::success, MEDIAN, SLOW_START_SUCCESSES * 4, START);
    return limiter;
}

struct limit_case
{
    const char *name;
    void (*event)(server_limiter &);
    std::uint32_t limit;
    std::uint32_t connections;
    bool preferred;
};

std::ostream &operator<<(std::ostream &out, const limit_case &row)
{
    return out << row.name;
}

const limit_case LIMIT_CASES[] = {
    {"no event", [](server_limiter &) {}, 4, 30, true},
    {"same start time", [](server_limiter &limiter) { limiter.observeStartTime(1); }, 4, 30, true},
    {"restarted", [](server_limiter &limiter) { limiter.observeStartTime(2); }, 1, 30, false},
    {"one shed answer", [](server_limiter &limiter) { answerShed(limiter, 1); }, 4, 30, true},
    {"one in ten shed",
     [](server_limiter &limiter) {
         for (int i = 0; i < 100; ++i) {
             answerShed(limiter, 1);
             answer(limiter, server_answer_kind::success, MEDIAN, 9, START);
         }
     },
     4,
     30,
     true},
    {"almost overloaded", [](server_limiter &limiter) { answerShed(limiter, OVERLOADING_SHEDS - 1); }, 4, 30, true},
    {"overloaded", [](server_limiter &limiter) { answerShed(limiter, OVERLOADING_SHEDS); }, 1, 30, false},
    {"half shed",
     [](server_limiter &limiter) {
         for (int i = 0; i < OVERLOAD_SCORE; ++i) {
             answerShed(limiter, 1);
             answer(limiter, server_answer_kind::success, MEDIAN, 1, START);
         }
     },
     1,
     30,
     false},
    {"stragglers", [](server_limiter &limiter) { answer(limiter, server_answer_kind::success, 9 * MEDIAN, SLOW_ANSWERS_UNTIL_COLD - 1, START); }, 4, 30, true},
    {"consecutive slow answers",
     [](server_limiter &limiter) { answer(limiter, server_answer_kind::success, 4 * MEDIAN, SLOW_ANSWERS_UNTIL_COLD, START); },
     1,
     30,
     false},
    {"cancelled hedges", [](server_limiter &limiter) { answer(limiter, server_answer_kind::cancelled, 9 * MEDIAN, 20, START); }, 4, 30, true},
    {"health endpoint reports a failure", [](server_limiter &limiter) { limiter.observeHealth(false); }, 4, 30, false},
    {"leaving",
     [](server_limiter &limiter) {
         limiter.setExclusions({true, false, false});
     },
     0,
     0,
     false},
    {"failure domain excluded",
     [](server_limiter &limiter) {
         limiter.setExclusions({false, true, false});
     },
     0,
     0,
     false},
    {"bad version",
     [](server_limiter &limiter) {
         limiter.setExclusions({false, false, true});
     },
     0,
     0,
     false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(server_limiter_tests)

// Guards against keeping the load on an overloaded server, and against a slow start because of single stragglers or of the health endpoint alone.
BOOST_DATA_TEST_CASE(limitAfterEvent, LIMIT_CASES)
{
    auto limiter = warmLimiter();
    sample.event(limiter);
    BOOST_TEST(limiter.requestLimit(SHARE) == sample.limit);
    BOOST_TEST(limiter.connectionLimit(SHARE) == sample.connections);
    BOOST_TEST(limiter.preferred() == sample.preferred);
    BOOST_TEST(limiter.requestLimit({}) == 0U);
    BOOST_TEST(!limiter.mayConnect({}));
}

// Guards against raising the limit because of slow answers, or of answers to requests that were sent before the server restarted.
BOOST_AUTO_TEST_CASE(limitGrowsByOneAfterEachSuccessRun)
{
    auto limiter = warmLimiter();
    std::vector<std::uint64_t> startedBeforeRestart;
    startedBeforeRestart.reserve(SLOW_START_SUCCESSES);
    for (int i = 0; i < SLOW_START_SUCCESSES; ++i) {
        startedBeforeRestart.push_back(limiter.started({SLOW_START_SUCCESSES, 30}));
    }
    limiter.observeStartTime(2);
    for (const auto start : startedBeforeRestart) {
        limiter.finished(start, {server_answer_kind::success, MEDIAN, MEDIAN}, START);
    }
    BOOST_TEST(limiter.requestLimit(SHARE) == 1U);
    for (std::uint32_t limit = 1; limit <= SHARE.slots; ++limit) {
        BOOST_TEST(limiter.requestLimit(SHARE) == limit);
        answer(limiter, server_answer_kind::success, MEDIAN, SLOW_START_SUCCESSES - 1, START);
        answer(limiter, server_answer_kind::success, 4 * MEDIAN, 1, START);
        BOOST_TEST(limiter.requestLimit(SHARE) == limit);
        answer(limiter, server_answer_kind::success, MEDIAN, SLOW_START_SUCCESSES, START);
    }
    BOOST_TEST(!limiter.cold());
}

// Guards against sending more requests than the limit, and against sending without a pause to a server that is overloaded by one request at a time.
BOOST_AUTO_TEST_CASE(limitsConcurrencyAndPausesAfterOverload)
{
    auto limiter = warmLimiter();
    for (std::uint32_t i = 0; i < SHARE.slots; ++i) {
        BOOST_TEST(limiter.mayStart(SHARE, START));
        limiter.started(SHARE);
    }
    BOOST_TEST(!limiter.mayStart(SHARE, START));
    auto shedding = warmLimiter();
    answerShed(shedding, OVERLOADING_SHEDS);
    BOOST_TEST(shedding.mayStart(SHARE, START));
    answerShed(shedding, OVERLOADING_SHEDS);
    auto pause = INITIAL_SHED_PAUSE;
    for (int i = 0; i < 8; ++i) {
        BOOST_TEST(!shedding.mayStart(SHARE, START + pause - duration(1)));
        BOOST_TEST(shedding.mayStart(SHARE, START + pause));
        answerShed(shedding, PAUSED_OVERLOADING_SHEDS);
        pause = std::min(2 * pause, MAX_SHED_PAUSE);
    }
    // The server answers again: each PAUSE_HALVING_SUCCESSES successes halve the pause until it ends.
    for (pause = MAX_PAUSE_AFTER_SUCCESS; pause >= MIN_SHED_PAUSE; pause /= 2) {
        answer(shedding, server_answer_kind::success, MEDIAN, PAUSE_HALVING_SUCCESSES - 1, START);
        BOOST_TEST(!shedding.mayStart(SHARE, START + pause - duration(1)));
        BOOST_TEST(shedding.mayStart(SHARE, START + pause));
        answer(shedding, server_answer_kind::success, MEDIAN, 1, START);
    }
    answer(shedding, server_answer_kind::success, MEDIAN, 1, START);
    BOOST_TEST(shedding.mayStart(SHARE, START));
    BOOST_TEST(shedding.requestLimit(SHARE) == 1U);
}

// Guards against retrying too soon a limit that overloaded the server, and against lowering the limit below the last one that passed its trial.
BOOST_AUTO_TEST_CASE(failedTrialLowersLimitByOne)
{
    auto limiter = warmLimiter();
    limiter.observeStartTime(2);
    answer(limiter, server_answer_kind::success, MEDIAN, 2 * SLOW_START_SUCCESSES, START);
    BOOST_TEST(limiter.requestLimit(SHARE) == 3U);
    for (const int run : {RETRIAL_SUCCESSES, MAX_RETRIAL_SUCCESSES, MAX_RETRIAL_SUCCESSES}) {
        answerShed(limiter, PAUSED_OVERLOADING_SHEDS);
        BOOST_TEST(limiter.requestLimit(SHARE) == 2U);
        // Failures delay the next trial, but only by a limited number of successes.
        answer(limiter, server_answer_kind::success, MEDIAN, run - 1, START);
        answer(limiter, server_answer_kind::failed, {}, 1, START);
        answer(limiter, server_answer_kind::success, MEDIAN, SLOW_START_SUCCESSES, START);
        BOOST_TEST(limiter.requestLimit(SHARE) == 2U);
        answer(limiter, server_answer_kind::success, MEDIAN, 1, START);
        BOOST_TEST(limiter.requestLimit(SHARE) == 3U);
    }
}

// Guards against a limit that is not lowered after an overload, or is lowered to 0, when the node's share has shrunk during the trial.
BOOST_DATA_TEST_CASE(failedTrialAfterShareShrank, boost::unit_test::data::make({1U, 2U, 3U}), slots)
{
    auto limiter = warmLimiter();
    limiter.observeStartTime(2);
    answer(limiter, server_answer_kind::success, MEDIAN, 3 * SLOW_START_SUCCESSES, START);
    BOOST_TEST(limiter.requestLimit(SHARE) == 4U);
    for (int i = 0; i < PAUSED_OVERLOADING_SHEDS; ++i) {
        limiter.finished(limiter.started({slots, 30}), {server_answer_kind::shed, {}, MEDIAN}, START);
    }
    BOOST_TEST(limiter.requestLimit(SHARE) == std::max(1U, slots - 1));
}

struct random_shedding_case
{
    std::uint32_t slots;
    std::uint32_t nodes;
    double shedShare;
};

std::ostream &operator<<(std::ostream &out, const random_shedding_case &row)
{
    return out << row.slots << " slots, " << row.nodes << " nodes, " << row.shedShare << " shed";
}

const random_shedding_case RANDOM_SHEDDING_CASES[] = {
    {2, 1, 0.01}, {2, 1, 0.05}, {2, 1, 0.1},  {2, 1, 0.2},  {2, 2, 0.01}, {2, 2, 0.05}, {2, 2, 0.1},  {2, 2, 0.2},  {3, 1, 0.01}, {3, 1, 0.05},
    {3, 1, 0.1},  {3, 1, 0.2},  {6, 1, 0.01}, {6, 1, 0.05}, {6, 1, 0.1},  {6, 1, 0.2},  {6, 2, 0.01}, {6, 2, 0.05}, {6, 2, 0.1},  {6, 2, 0.2},
};

struct cold_case
{
    std::uint32_t slots;
    std::uint32_t nodes;
    int coldAfterS;
    double load;
};

std::ostream &operator<<(std::ostream &out, const cold_case &row)
{
    return out << row.slots << " slots, " << row.nodes << " nodes, cold after " << row.coldAfterS << " s, load " << row.load;
}

const cold_case COLD_CASES[] = {
    {2, 1, 0, 0.0},
    {2, 1, 2, 0.0},
    {2, 2, 0, 0.0},
    {2, 2, 2, 0.0},
    {3, 1, 0, 0.0},
    {3, 1, 2, 0.0},
    {3, 1, 2, 0.3},
    {6, 1, 0, 0.0},
    {6, 1, 2, 0.0},
    {6, 1, 2, 0.3},
    {6, 2, 0, 0.0},
    {6, 2, 2, 0.0},
    {6, 2, 2, 0.3},
};

// Guards against treating a server as cold because it sheds a few requests at random, without being overloaded.
BOOST_DATA_TEST_CASE(randomSheddingKeepsThroughput, RANDOM_SHEDDING_CASES)
{
    const duration time = std::chrono::seconds(30);
    const auto withoutShedding = shedding::simulateShedding<server_limiter>({sample.slots}, sample.nodes, 0.0, time);
    const auto result = shedding::simulateShedding<server_limiter>({sample.slots, sample.shedShare}, sample.nodes, 0.0, time);
    // Up to a shed share of one in ten, the throughput may fall by at most twice that share; a higher share also indicates overload.
    const double minThroughputShare = sample.shedShare <= 0.1 ? 1 - 2 * sample.shedShare : 0;
    BOOST_TEST(static_cast<double>(result.answered) >= minThroughputShare * static_cast<double>(withoutShedding.answered));
    const auto baseline = shedding::simulateShedding<reset_to_one_limiter>({sample.slots, sample.shedShare}, sample.nodes, 0.0, time);
    BOOST_TEST(result.answered > baseline.answered);
}

// Guards against overloading a cold server.
BOOST_DATA_TEST_CASE(coldServerShedsLittle, COLD_CASES)
{
    const time_point coldSince{std::chrono::seconds(sample.coldAfterS)};
    const auto result = shedding::simulateShedding<server_limiter>({sample.slots, 0.0, coldSince}, sample.nodes, sample.load, std::chrono::seconds(10));
    BOOST_TEST(result.sentInRamp > 0U);
    const auto baseline = shedding::simulateShedding<reset_to_one_limiter>({sample.slots, 0.0, coldSince}, sample.nodes, sample.load, std::chrono::seconds(10));
    // The shed share must not exceed that of reset_to_one_limiter, which lowers the limit to one request at the first shed answer.
    BOOST_TEST(static_cast<double>(result.shedInRamp) * static_cast<double>(baseline.sentInRamp)
               <= static_cast<double>(baseline.shedInRamp) * static_cast<double>(result.sentInRamp));
}

BOOST_AUTO_TEST_SUITE_END()
