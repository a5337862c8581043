#include <deque>
#include <random>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/shared_retry_budget.h"

using namespace snipefall;

namespace {

constexpr duration WINDOW = std::chrono::seconds(10);
const service_id SERVICE("shard-1");

struct budget_case
{
    const char *name;
    double ratio;
    double slack;
    std::size_t nodes;
    double requestsPerSecond; ///< Request rate, summed over all nodes.
    double extraPerRequest; ///< Number of extra sub-requests per request that the nodes try to send.
};

std::ostream &operator<<(std::ostream &out, const budget_case &row)
{
    return out << row.name;
}

const budget_case BUDGET_CASES[] = {
    {"seven nodes, few extras", 0.2, 54, 7, 90, 0.05},
    {"seven nodes, one extra for each request", 0.2, 54, 7, 90, 1.0},
    {"seven nodes, three extras for each request", 0.2, 54, 7, 150, 3.0},
    {"78 nodes, little traffic each", 0.2, 196, 78, 45, 2.0},
    {"no slack", 0.1, 0, 3, 40, 1.0},
    {"no ratio", 0.0, 20, 4, 40, 1.0},
};

} // namespace

BOOST_AUTO_TEST_SUITE(shared_retry_budget_tests)

// Guards against extra sub-requests above the bound in any window, summed over nodes that do not communicate with each other.
BOOST_DATA_TEST_CASE(allNodesTogetherKeepTheBound, boost::unit_test::data::make(BUDGET_CASES), row)
{
    std::mt19937_64 random(7);
    std::vector<shared_retry_budget> nodes(row.nodes);
    for (shared_retry_budget &node : nodes) {
        node.setLimits({row.ratio, row.slack, WINDOW}, row.nodes);
    }
    std::deque<time_point> requests;
    std::deque<time_point> extras;
    time_point now{std::chrono::hours(1)};
    const auto drop = [&now](std::deque<time_point> &times) {
        while (!times.empty() && now - times.front() > WINDOW) {
            times.pop_front();
        }
    };
    const duration gap(static_cast<std::int64_t>(1e6 / row.requestsPerSecond));
    bool kept = true;
    for (int i = 0; i < 6000; ++i) {
        now += gap;
        shared_retry_budget &node = nodes[random() % nodes.size()];
        node.countRequest(SERVICE, now);
        requests.push_back(now);
        double wanted = row.extraPerRequest;
        while (wanted >= 1.0 || std::uniform_real_distribution<double>(0, 1)(random) < wanted) {
            if (node.tryAcquire(SERVICE, i % 2 == 0 ? extra_send_purpose::hedge : extra_send_purpose::retry, now)) {
                extras.push_back(now);
            }
            wanted -= 1.0;
            if (wanted <= 0) {
                break;
            }
        }
        drop(requests);
        drop(extras);
        kept = kept && static_cast<double>(extras.size()) <= row.ratio * static_cast<double>(requests.size()) + row.slack;
    }
    BOOST_TEST(kept);
}

// Guards against hedges that use up the budget, so that failed sub-requests can't be retried.
BOOST_AUTO_TEST_CASE(hedgesLeaveTokensForRetries)
{
    shared_retry_budget budget;
    budget.setLimits({0.2, 0, WINDOW}, 1);
    const time_point now{std::chrono::hours(1)};
    for (int i = 0; i < 200; ++i) {
        budget.countRequest(SERVICE, now);
    }
    while (budget.tryAcquire(SERVICE, extra_send_purpose::hedge, now)) { }
    BOOST_TEST(budget.tryAcquire(SERVICE, extra_send_purpose::retry, now));
}

// Guards against tokens that do not become available again after the window.
BOOST_AUTO_TEST_CASE(usedTokensReturnAfterTheWindow)
{
    shared_retry_budget budget;
    budget.setLimits({0.0, 8, WINDOW}, 1);
    time_point now{std::chrono::hours(1)};
    while (budget.tryAcquire(SERVICE, extra_send_purpose::retry, now)) { }
    BOOST_TEST(!budget.tryAcquire(SERVICE, extra_send_purpose::retry, now + WINDOW / 2));
    BOOST_TEST(budget.tryAcquire(SERVICE, extra_send_purpose::retry, now + WINDOW * 2));
}

BOOST_AUTO_TEST_SUITE_END()
