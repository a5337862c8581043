#include <random>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/extra_load_budget.h"
#include "tests/policy/send_log.h"

using namespace snipefall;

namespace {

struct grant_case
{
    const char *name;
    int seconds; ///< Duration of the load before tokens are requested, with 1000 first sub-requests per second.
    int idleMs; ///< Time between the last first sub-request and the requests for tokens.
    int granted; ///< Expected number of granted tokens, out of 1000 requested at the same time.
};

std::ostream &operator<<(std::ostream &out, const grant_case &row)
{
    return out << row.name;
}

const grant_case GRANT_CASES[] = {
    {"nothing earned", 0, 0, 0},
    {"five percent is earned", 1, 0, 50},
    {"saved tokens are bounded", 60, 0, 100},
    {"no grant without first sub-requests in the second", 60, 1000, 0},
    {"the cap shrinks as first sub-requests leave the second", 60, 700, 30},
};

} // namespace

BOOST_AUTO_TEST_SUITE(extra_load_budget_tests)

BOOST_DATA_TEST_CASE(grantsFollowEarnings, GRANT_CASES)
{
    extra_load_budget budget;
    time_point now(std::chrono::seconds(5));
    for (int count = 0; count < sample.seconds * 1000; ++count) {
        now += std::chrono::milliseconds(1);
        budget.countFirst(now, now, 1);
    }
    now += std::chrono::milliseconds(sample.idleMs);
    int granted = 0;
    for (int request = 0; request < 1000; ++request) {
        granted += budget.tryAcquire(now) ? 1 : 0;
    }
    BOOST_TEST(std::abs(granted - sample.granted) <= 1, granted);
}

// Guards against more than 10% extra sub-requests in any second, under bursts, pauses, late counts and revoked sub-requests.
BOOST_AUTO_TEST_CASE(capHoldsInEverySecond)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::mt19937_64 random(seed);
        extra_load_budget budget({20 + static_cast<std::int64_t>(seed), 10, 1000});
        send_log log;
        time_point now(std::chrono::seconds(1));
        int granted = 0;
        for (int step = 0; step < 4000; ++step) {
            now += duration(random() % 50 == 0 ? random() % 2'000'000 : random() % 8'000);
            const auto count = static_cast<std::int64_t>(random() % 30);
            const time_point sentAt = now - duration(random() % (step % 8 == 0 ? 1'500'000 : 20'000));
            const auto action = random() % 8;
            if (action < 4) {
                log.firsts.emplace_back(sentAt, count);
                budget.countFirst(sentAt, now, count);
            } else if (action == 4) {
                // Counted, but not sent, so the count is reverted later.
                budget.countFirst(sentAt, now, count);
                now += duration(random() % 20'000);
                budget.countFirst(sentAt, now, -count);
            } else if (budget.tryAcquire(now)) {
                if (random() % 4 == 0) {
                    const time_point acquiredAt = now;
                    now += duration(random() % 20'000);
                    budget.revokeExtra(acquiredAt, now);
                    continue;
                }
                log.extras.push_back(now);
                ++granted;
                BOOST_REQUIRE(log.withinCap(now));
            }
        }
        BOOST_TEST(granted > 100);
    }
}

BOOST_AUTO_TEST_SUITE_END()
