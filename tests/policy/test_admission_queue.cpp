#include <map>
#include <random>

#include <boost/test/unit_test.hpp>

#include "policy/admission_queue.h"

using namespace snipefall;
using std::chrono::milliseconds;

namespace {

constexpr duration SERVICE_TIME = milliseconds(6);
constexpr time_point START{std::chrono::seconds(10)};

queued_query queryOf(std::uint64_t id, const char *caller, duration time)
{
    return {id, caller_id(caller), START + time};
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission_queue_tests)

// Guards against queueing queries that can't finish in time, against starting queries after their deadline, and against an unbounded queue.
BOOST_AUTO_TEST_CASE(refusesQueriesThatCannotFinishInTime)
{
    admission_queue queue(100, SERVICE_TIME);
    BOOST_TEST(!queue.offer(queryOf(1, "a", milliseconds(100)), 0, START).admitted);
    BOOST_TEST(!queue.offer(queryOf(1, "a", milliseconds(5)), 1, START).admitted);
    std::uint64_t admitted = 0;
    while (admitted < 100 && queue.offer(queryOf(admitted, "a", milliseconds(61)), 1, START).admitted) {
        ++admitted;
    }
    BOOST_TEST(admitted == 10U); // 10 queries of 6 ms finish within 61 ms.
    const auto late = queue.next(START + milliseconds(56));
    BOOST_TEST(!late.start.has_value());
    BOOST_TEST(late.refused.size() == 10U);
    BOOST_TEST(queue.waiting() == 0U);
}

// Guards against a service that refuses all queries forever after a slow period, because refused queries give no new service time samples.
BOOST_AUTO_TEST_CASE(admitsQueriesAgainAfterSlowPeriod)
{
    admission_queue queue(100, SERVICE_TIME);
    for (int i = 0; i < 50; ++i) {
        BOOST_REQUIRE(queue.offer(queryOf(1, "a", std::chrono::seconds(10)), 1, START).admitted);
        BOOST_REQUIRE(queue.next(START).start.has_value());
        queue.finished(caller_id("a"), milliseconds(500));
    }
    int refused = 0;
    while (refused < 1000 && !queue.offer(queryOf(2, "a", milliseconds(100)), 1, START).admitted) {
        ++refused;
    }
    BOOST_TEST(refused > 0);
    BOOST_TEST(refused < 300);
}

// Guards against one caller that fills the queue: the newest query of the caller with the most waiting queries is displaced, but not by the same caller.
BOOST_AUTO_TEST_CASE(fullQueueDisplacesNewestQueryOfBusiestCaller)
{
    admission_queue queue(3, SERVICE_TIME);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        BOOST_REQUIRE(queue.offer(queryOf(id, "heavy", milliseconds(500)), 2, START).admitted);
    }
    BOOST_TEST(!queue.offer(queryOf(4, "heavy", milliseconds(500)), 2, START).admitted);
    const auto result = queue.offer(queryOf(5, "light", milliseconds(500)), 2, START);
    BOOST_REQUIRE(result.admitted && result.displaced);
    BOOST_TEST(result.displaced->id == 3U);
    BOOST_TEST(queue.waiting() == 3U);
    BOOST_TEST(queue.cancel(5));
    BOOST_TEST(!queue.cancel(5));
}

// Guards against callers that get more than their share of service time by sending more queries or more expensive ones.
BOOST_AUTO_TEST_CASE(serviceTimeIsSharedFairly)
{
    const std::map<std::string, duration> costs{{"many", milliseconds(6)}, {"long", milliseconds(30)}, {"few", milliseconds(6)}};
    admission_queue queue(1000, SERVICE_TIME);
    std::map<std::string, duration> used;
    std::uint64_t id = 0;
    auto now = START;
    for (int i = 0; i < 20000; ++i) {
        for (const auto &[caller, cost] : costs) {
            for (int repeats = caller == "many" ? 10 : 2; repeats > 0; --repeats) {
                queue.offer({++id, caller_id(caller), now + std::chrono::seconds(1)}, 1, now);
            }
        }
        const auto next = queue.next(now);
        BOOST_REQUIRE(next.start.has_value());
        const auto cost = costs.at(next.start->caller.str());
        used[next.start->caller.str()] += cost;
        now += cost;
        queue.finished(next.start->caller, cost);
    }
    const auto third = (used["many"] + used["long"] + used["few"]) / 3;
    for (const auto &[caller, time] : used) {
        BOOST_TEST_INFO(caller << " used " << time.count() << " us of " << 3 * third.count());
        BOOST_TEST(std::abs(static_cast<double>((time - third).count())) < 0.05 * static_cast<double>(third.count()));
    }
}

// Guards against queries that are lost or end twice: each admitted query is started, refused, displaced or cancelled exactly once, also when clock jumps and
// cancellations coincide.
BOOST_AUTO_TEST_CASE(everyQueryEndsExactlyOnce)
{
    std::mt19937_64 random(40417);
    admission_queue queue(40, SERVICE_TIME);
    std::map<std::uint64_t, int> endCounts;
    std::uint64_t admitted = 0;
    std::vector<caller_id> running;
    auto now = START;
    for (std::uint64_t id = 1; id < 50000; ++id) {
        now += duration(random() % 3000 + (random() % 500 == 0 ? 100000 : 0));
        const auto result = queue.offer({id, caller_id(std::to_string(random() % 7)), now + milliseconds(5 + random() % 100)}, 4, now);
        admitted += result.admitted ? 1 : 0;
        if (result.displaced) {
            ++endCounts[result.displaced->id];
        }
        const auto cancelled = id - random() % 50;
        endCounts[cancelled] += random() % 10 == 0 && queue.cancel(cancelled) ? 1 : 0;
        if (!running.empty() && random() % 2 == 0) {
            queue.finished(running.back(), duration(random() % 12000));
            running.pop_back();
        }
        if (running.size() < 4) {
            const auto next = queue.next(now);
            for (const auto &query : next.refused) {
                ++endCounts[query.id];
            }
            if (next.start) {
                BOOST_REQUIRE((now <= next.start->deadline));
                ++endCounts[next.start->id];
                running.push_back(next.start->caller);
            }
        }
        BOOST_REQUIRE_LE(queue.waiting(), 40U);
    }
    std::uint64_t ended = 0;
    for (const auto &[id, count] : endCounts) {
        BOOST_REQUIRE_LE(count, 1);
        ended += count;
    }
    BOOST_TEST(ended + queue.waiting() == admitted);
}

BOOST_AUTO_TEST_SUITE_END()
