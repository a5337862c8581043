#include <deque>
#include <random>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/announced_rate_limit.h"

using namespace snipefall;

namespace {

const time_point START{std::chrono::hours(1)};
constexpr duration WINDOW = std::chrono::seconds(4);

struct load_case
{
    std::size_t nodes;
    double requestsPerSecond; ///< The server's limit.
    double calmLoad; ///< Requests per second to the server from all nodes together during the first minute.
    double load; ///< The same after the first minute.
};

std::ostream &operator<<(std::ostream &out, const load_case &row)
{
    return out << row.nodes << " nodes, limit " << row.requestsPerSecond << ", load " << row.calmLoad << " and then " << row.load;
}

const load_case LOAD_CASES[] = {
    {1, 1, 20, 20},
    {7, 0, 20, 20},
    {7, 1, 1, 50},
    {7, 27, 60, 60},
    {7, 27, 5, 200},
    {78, 1, 0.5, 100},
    {78, 8, 45, 45},
    {78, 8, 2, 500},
    {470, 20, 5, 1000},
};

} // namespace

BOOST_AUTO_TEST_SUITE(announced_rate_limit_tests)

// Guards against more requests from all nodes together than a server takes, in particular when the load rises after a calm time.
BOOST_DATA_TEST_CASE(allNodesTogetherKeepTheLimit, boost::unit_test::data::make(LOAD_CASES), row)
{
    constexpr duration STEP = std::chrono::milliseconds(10);
    std::mt19937_64 random(5);
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    std::vector<announced_rate_limit> limits(row.nodes);
    for (announced_rate_limit &limit : limits) {
        limit.set(row.requestsPerSecond, row.nodes, unit(random), START);
    }
    std::deque<time_point> recent;
    std::size_t sentUnderLoad = 0;
    for (time_point now = START; now < START + std::chrono::minutes(2); now += STEP) {
        const bool calm = now < START + std::chrono::minutes(1);
        std::poisson_distribution<int> arrivals((calm ? row.calmLoad : row.load) * std::chrono::duration<double>(STEP).count());
        for (int left = arrivals(random); left > 0; --left) {
            announced_rate_limit &limit = limits[random() % row.nodes];
            if (limit.availableAt(now) > now) {
                continue;
            }
            limit.take(now);
            recent.push_back(now);
            sentUnderLoad += calm ? 0 : 1;
        }
        while (!recent.empty() && now - recent.front() >= WINDOW) {
            recent.pop_front();
        }
        BOOST_REQUIRE(static_cast<double>(recent.size()) <= 1.5 * 4 * row.requestsPerSecond + 5);
    }
    // Where the nodes are few or the load is much more than the server takes, nearly all of what it takes is used.
    const bool fewNodes = static_cast<double>(row.nodes) <= row.requestsPerSecond;
    if (row.load >= (fewNodes ? 2 : 10) * row.requestsPerSecond) {
        BOOST_TEST(static_cast<double>(sentUnderLoad) >= 0.8 * 60 * row.requestsPerSecond);
    }
}

// Guards against a division by zero for a rate that is too high to be a limit.
BOOST_AUTO_TEST_CASE(hugeRatesAreNoLimit)
{
    announced_rate_limit limit;
    limit.set(1e300, 1, 0, START);
    limit.take(START);
    const time_point later = START + std::chrono::milliseconds(1);
    BOOST_TEST((limit.availableAt(later) == later));
}

// Guards against a change of the node count or of the rate that gives every node a request at once.
BOOST_AUTO_TEST_CASE(changesDoNotGrantRequests)
{
    announced_rate_limit limit;
    limit.set(2, 4, 0, START);
    BOOST_TEST((limit.availableAt(START) == START));
    limit.take(START);
    limit.set(2, 4, 0, START);
    limit.set(1, 4, 0, START);
    limit.setNodeCount(2);
    BOOST_TEST((limit.availableAt(START) >= START + std::chrono::seconds(2)));
    limit.clear();
    BOOST_TEST((limit.availableAt(START) == START));
}

BOOST_AUTO_TEST_SUITE_END()
