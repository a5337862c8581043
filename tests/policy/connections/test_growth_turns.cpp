#include <boost/test/unit_test.hpp>

#include "policy/connections/growth_turns.h"

using namespace snipefall;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t LIMIT = 1U << 20U;
constexpr std::size_t CALM = LIMIT / 2;
constexpr std::size_t SHORT = LIMIT / 8 * 7;
constexpr std::size_t LONG = 100000;
const growth_turns::steady_time START(std::chrono::seconds(100));

} // namespace

BOOST_AUTO_TEST_SUITE(growth_turn_tests)

// Guards against long messages that wait while nothing is short.
BOOST_AUTO_TEST_CASE(allGrowInCalm)
{
    growth_turns turns;
    BOOST_TEST(turns.mayGrow(1, {LONG, LONG}, CALM, LIMIT, START));
    BOOST_TEST(turns.mayGrow(2, {LONG, LONG}, CALM, LIMIT, START));
}

// Guards against ordinary requests and answers that wait behind long ones.
BOOST_AUTO_TEST_CASE(smallMessagesNeverWait)
{
    growth_turns turns;
    BOOST_TEST(turns.mayGrow(1, {LONG, LONG}, SHORT, LIMIT, START));
    BOOST_TEST(turns.mayGrow(2, {growth_turns::SMALL_BYTES - 1, LONG}, LIMIT * 2, LIMIT, START));
}

// Guards against long messages that all grow in turn, so that none is completed and all together exceed the limit.
BOOST_AUTO_TEST_CASE(oneIsCompletedBeforeTheNextGrows)
{
    growth_turns turns;
    for (std::size_t i = 0; i < 3; ++i) {
        BOOST_TEST(turns.mayGrow(2, {LONG + 8192 * i, LONG}, SHORT, LIMIT, START + milliseconds(100 * i)));
        BOOST_TEST(!turns.mayGrow(1, {LONG, LONG}, SHORT, LIMIT, START + milliseconds(100 * i)));
    }
    turns.leave(2);
    BOOST_TEST(turns.mayGrow(1, {LONG, LONG}, SHORT, LIMIT, START + milliseconds(300)));
}

// Guards against a server that drips and so holds up all other long messages.
BOOST_AUTO_TEST_CASE(theNextGrowsWhenTheFirstHardlyDoes)
{
    growth_turns turns;
    BOOST_TEST(turns.mayGrow(1, {LONG, LONG}, SHORT, LIMIT, START));
    BOOST_TEST(!turns.mayGrow(2, {LONG, LONG}, SHORT, LIMIT, START + milliseconds(250)));
    BOOST_TEST(turns.mayGrow(1, {LONG + 1, LONG}, SHORT, LIMIT, START + milliseconds(300)));
    BOOST_TEST(turns.mayGrow(2, {LONG, LONG}, SHORT, LIMIT, START + milliseconds(510)));
    BOOST_TEST(!turns.mayGrow(1, {LONG + 2, LONG}, SHORT, LIMIT, START + milliseconds(520)));
}

// Guards against one long message after the other that grows above a limit which the others reach already.
BOOST_AUTO_TEST_CASE(noneGrowsWhileTheOthersExceedTheLimit)
{
    growth_turns turns;
    BOOST_TEST(turns.mayGrow(1, {LONG, LONG}, LIMIT + LONG, LIMIT, START));
    BOOST_TEST(!turns.mayGrow(1, {LONG, LONG}, LIMIT + LONG + 1, LIMIT, START));
}

// Guards against ordinary answers that wait behind all the longer ones that were asked for before.
BOOST_AUTO_TEST_CASE(theShortestRestIsNext)
{
    growth_turns turns;
    BOOST_TEST(turns.mayGrow(1, {LONG, LONG}, SHORT, LIMIT, START));
    BOOST_TEST(!turns.mayGrow(2, {LONG, growth_turns::UNKNOWN_BYTES}, SHORT, LIMIT, START));
    BOOST_TEST(!turns.mayGrow(3, {LONG, LONG}, SHORT, LIMIT, START));
    BOOST_TEST(!turns.mayGrow(4, {LONG, LONG / 2}, SHORT, LIMIT, START));
    turns.leave(1);
    BOOST_TEST(!turns.mayGrow(3, {LONG, LONG}, SHORT, LIMIT, START));
    BOOST_TEST(turns.mayGrow(4, {LONG, LONG / 2}, SHORT, LIMIT, START));
}

// Guards against a processor that is spent on the questions of thousands that wait, and against a holder that asks too seldom to learn of its turn.
BOOST_AUTO_TEST_CASE(manyAskLessOften)
{
    growth_turns turns;
    for (growth_turns::holder asking = 1; asking <= 3000; ++asking) {
        turns.mayGrow(asking, {LONG, LONG}, SHORT, LIMIT, START);
        BOOST_TEST(turns.retryDelay() >= milliseconds(10));
        const double questionsPerSecond = static_cast<double>(asking) / std::chrono::duration<double>(turns.retryDelay()).count();
        BOOST_TEST(questionsPerSecond <= 30000);
    }
    turns.leave(1);
    BOOST_TEST(!turns.mayGrow(3, {LONG, LONG}, SHORT, LIMIT, START));
    BOOST_TEST(turns.mayGrow(2, {LONG, LONG}, SHORT, LIMIT, START + turns.retryDelay()));
}

BOOST_AUTO_TEST_SUITE_END()
