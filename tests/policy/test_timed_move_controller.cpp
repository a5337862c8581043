#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/timed_move_controller.h"

using namespace snipefall;
using std::chrono::milliseconds;

namespace {

const time_point START{std::chrono::hours(1)};
constexpr canary_limits LIMITS{0.1, 50};

move_observations observed(std::uint64_t oldAnswers, std::uint64_t oldErrors, std::uint64_t newAnswers, std::uint64_t newErrors)
{
    move_observations result;
    route_counts &counts = result.step[ALL_ROUTES];
    counts.oldVersion.answers = oldAnswers;
    counts.oldVersion.errors = oldErrors;
    counts.newVersion.answers = newAnswers;
    counts.newVersion.errors = newErrors;
    return result;
}

struct exposure_case
{
    milliseconds timeLimit;
    unsigned nodes;
    double requestsPerSecond; ///< At each node.
};

std::ostream &operator<<(std::ostream &out, const exposure_case &row)
{
    return out << row.timeLimit.count() << " ms, " << row.nodes << " nodes, " << row.requestsPerSecond << " per second";
}

const exposure_case EXPOSURE_CASES[] = {
    {milliseconds(12000), 1, 20},
    {milliseconds(12000), 7, 3},
    {milliseconds(12000), 7, 15},
    {milliseconds(30000), 78, 0.3},
    {milliseconds(8000), 20, 50},
    {milliseconds(60000), 7, 100},
};

struct decision_case
{
    const char *name;
    milliseconds at;
    move_observations observations;
    std::size_t targetServers;
    move_action action;
    bool atFault;
};

std::ostream &operator<<(std::ostream &out, const decision_case &row)
{
    return out << row.name;
}

const decision_case DECISION_CASES[] = {
    {"no answers yet", milliseconds(100), {}, 2, move_action::none, false},
    {"a good version", milliseconds(6000), observed(1000, 5, 60, 0), 2, move_action::none, false},
    {"a good version at the end", milliseconds(10600), observed(1000, 5, 200, 1), 2, move_action::finish, false},
    {"many errors", milliseconds(2000), observed(300, 1, 20, 8), 2, move_action::roll_back, true},
    {"many errors at full share", milliseconds(10200), observed(900, 3, 60, 20), 2, move_action::roll_back, true},
    {"as many errors as before", milliseconds(2000), observed(300, 120, 20, 8), 2, move_action::none, false},
    {"no server of the version", milliseconds(10600), {}, 0, move_action::roll_back, false},
    {"no request at all", milliseconds(10600), {}, 2, move_action::finish, false},
    {"not done in time", milliseconds(12000), observed(1000, 5, 200, 1), 2, move_action::roll_back, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(timed_move_controller_tests)

// Guards against a target version that gets more requests than canary_limits allows before the full phase ends, as it may become faulty at any time until then.
BOOST_DATA_TEST_CASE(targetShareStaysWithinLimits, boost::unit_test::data::make(EXPOSURE_CASES), row)
{
    const timed_move_controller move(START, row.timeLimit, {LIMITS.share, LIMITS.slack / row.nodes});
    const double tickSeconds = 0.01;
    double sentRequests = 0;
    double targetRequests = 0;
    bool finishing = false;
    for (time_point now = START; !finishing; now += milliseconds(10)) {
        finishing = move.phaseAt(now) == timed_move_controller::phase::finishing;
        targetRequests += finishing ? 0 : move.shareAt(static_cast<std::uint64_t>(sentRequests), now) * row.requestsPerSecond * tickSeconds;
        sentRequests += row.requestsPerSecond * tickSeconds;
    }
    BOOST_TEST(row.nodes * targetRequests <= LIMITS.share * row.nodes * sentRequests + LIMITS.slack);
    BOOST_TEST(targetRequests > 0);
}

// Guards against a healthy version that isn't finished in time, a faulty one that is finished, and a version that is called faulty without evidence.
BOOST_DATA_TEST_CASE(decidesOnEvidenceAndTime, boost::unit_test::data::make(DECISION_CASES), row)
{
    const timed_move_controller move(START, milliseconds(12000), LIMITS);
    const timed_move_controller::decision decision = move.decide(row.observations, row.targetServers, START + row.at);
    BOOST_TEST((decision.action == row.action), decision.reason);
    BOOST_TEST(decision.targetAtFault == row.atFault);
}

BOOST_AUTO_TEST_SUITE_END()
