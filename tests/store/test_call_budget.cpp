#include <random>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "store/budgeted_object_store.h"
#include "store/memory_object_store.h"

using namespace snipefall;
using namespace std::chrono_literals;
using decision = call_budget::decision;

namespace {

constexpr int PURPOSES = 7;

struct manual_clock
{
    const time_point *current;
    time_point now() const { return *current; }
};

static_assert(object_store<budgeted_object_store<memory_object_store>>);

int acquireAll(call_budget &budget, call_purpose purpose, call_kind kind, time_point now)
{
    int calls = 0;
    while (budget.tryAcquire(purpose, kind, now) == decision::allowed) {
        ++calls;
    }
    return calls;
}

struct backoff_case
{
    unsigned failures;
    double random;
    duration expected;
};

std::ostream &operator<<(std::ostream &out, const backoff_case &row)
{
    return out << row.failures << " failures, random " << row.random;
}

const backoff_case BACKOFF_CASES[] = {
    {1, 0, 50ms},
    {1, 1, 100ms},
    {3, 0.5, 300ms},
    {100, 0, 2500ms},
    {100, 1, 5000ms},
};

} // namespace

BOOST_AUTO_TEST_SUITE(call_budget_tests)

// Guards against statistics that use up the tokens reserved for configuration and claims.
BOOST_AUTO_TEST_CASE(lowPriorityPurposesAreRefusedFirst)
{
    const time_point start(1h);
    call_budget budget({300, 2000, 10, 10s, 100ms, 5s}, start);
    int total = 0;
    for (int purpose = PURPOSES - 1; purpose >= 0; --purpose) {
        const int calls = acquireAll(budget, static_cast<call_purpose>(purpose), call_kind::write, start);
        BOOST_TEST(calls == (purpose == PURPOSES - 1 ? 120 : 30));
        total += calls;
    }
    BOOST_TEST(total == 300);
    BOOST_TEST(acquireAll(budget, call_purpose::configuration, call_kind::write, start + 1s) == 30);
    // Reads have a separate token bucket.
    BOOST_TEST(acquireAll(budget, call_purpose::account, call_kind::read, start) > 0);
}

// Guards against a call rate that is not adjusted when the number of nodes changes.
BOOST_AUTO_TEST_CASE(rateDependsOnNodeCount)
{
    const time_point start(1h);
    call_budget budget({300, 2000, 1, 10s, 100ms, 5s}, start);
    budget.setNodes(100, start);
    BOOST_TEST(acquireAll(budget, call_purpose::configuration, call_kind::write, start) == 30);
    BOOST_TEST(acquireAll(budget, call_purpose::configuration, call_kind::write, start + 2s) == 6);
}

// Guards against nodes that retry a failing platform immediately or all at the same time.
BOOST_DATA_TEST_CASE(failuresStartExponentialBackoff, boost::unit_test::data::make(BACKOFF_CASES) * boost::unit_test::data::make({0, 1}), sample, kindNumber)
{
    const auto kind = static_cast<call_kind>(kindNumber);
    time_point now(1h);
    call_budget budget({300, 2000, 1, 10s, 100ms, 5s}, now);
    for (unsigned i = 0; i < sample.failures; ++i) {
        now = std::max(now, budget.backoffEnd(call_purpose::audit, kind));
        budget.recordFailure(call_purpose::audit, kind, now, sample.random);
        // A failure of another call that was in flight at the same time does not extend the backoff.
        budget.recordFailure(call_purpose::audit, kind, now, sample.random);
    }
    const call_kind other = kind == call_kind::read ? call_kind::write : call_kind::read;
    BOOST_TEST((budget.backoffEnd(call_purpose::audit, kind) - now).count() == sample.expected.count());
    BOOST_TEST((budget.tryAcquire(call_purpose::audit, kind, now + sample.expected - 1us) == decision::backing_off));
    BOOST_TEST((budget.tryAcquire(call_purpose::audit, kind, now + sample.expected) == decision::allowed));
    BOOST_TEST((budget.tryAcquire(call_purpose::claim, kind, now) == decision::allowed));
    // A write whose response was lost must not delay the read that resolves it.
    BOOST_TEST((budget.tryAcquire(call_purpose::audit, other, now) == decision::allowed));
    // A success of the other call kind does not end the backoff.
    budget.recordSuccess(call_purpose::audit, other);
    BOOST_TEST((budget.tryAcquire(call_purpose::audit, kind, now) == decision::backing_off));
    budget.recordSuccess(call_purpose::audit, kind);
    BOOST_TEST((budget.tryAcquire(call_purpose::audit, kind, now) == decision::allowed));
}

// Guards the rate limit and the priority of purposes under a random mix of failures, idle periods and changes of the node count.
BOOST_AUTO_TEST_CASE(limitHoldsUnderFaults)
{
    std::mt19937_64 random(20260902);
    for (int run = 0; run < 50; ++run) {
        const time_point start(1h);
        time_point now = start;
        call_budget budget({300, 2000, 10, 1s, 100ms, 5s}, now);
        double accruedTokens = 30;
        double rate = 30;
        int allowed = 0;
        for (int step = 0; step < 400; ++step) {
            const duration idleTime = random() % 50 == 0 ? duration(20s) : duration(random() % 20000);
            now += idleTime;
            accruedTokens += rate * std::chrono::duration<double>(idleTime).count();
            if (random() % 40 == 0) {
                const auto nodes = static_cast<std::uint32_t>(1 + random() % 500);
                budget.setNodes(nodes, now);
                rate = 300.0 / nodes;
            }
            const auto purpose = static_cast<call_purpose>(random() % PURPOSES);
            call_budget before = budget;
            const decision result = budget.tryAcquire(purpose, call_kind::write, now);
            allowed += result == decision::allowed ? 1 : 0;
            BOOST_REQUIRE(allowed <= accruedTokens + 1);
            BOOST_REQUIRE(result != decision::allowed || before.tryAcquire(call_purpose::configuration, call_kind::write, now) != decision::over_budget);
            if (result == decision::allowed && random() % 4 == 0) {
                budget.recordFailure(purpose, call_kind::write, now, std::uniform_real_distribution<double>(0, 1)(random));
            } else if (result == decision::allowed) {
                budget.recordSuccess(purpose, call_kind::write);
            }
        }
    }
}

// Guards against refused calls that still reach the platform, and against wrong call counts per purpose.
BOOST_AUTO_TEST_CASE(budgetedStoreRefusesAndCountsCalls)
{
    time_point now(1h);
    memory_object_store store;
    budgeted_object_store<memory_object_store, manual_clock> budgeted(store, {1, 1, 1, 10s, 100ms, 5s}, 1, manual_clock{&now});
    for (int i = 0; i < 10; ++i) {
        const auto written = budgeted.write(call_purpose::account, "key", "value", object_version(static_cast<std::uint64_t>(i)));
        BOOST_TEST(written.hasValue() == (i < 4));
        BOOST_TEST((written || written.reason().code == error_code::overloaded));
    }
    store.setDown(true);
    BOOST_TEST((budgeted.read(call_purpose::claim, "key").reason().code == error_code::unavailable));
    store.setDown(false);
    BOOST_TEST((budgeted.read(call_purpose::claim, "key").reason().code == error_code::unavailable));
    now += 1s;
    BOOST_TEST(budgeted.read(call_purpose::claim, "key").hasValue());
    BOOST_TEST((budgeted.read(call_purpose::claim, "missing").reason().code == error_code::not_found));
    BOOST_TEST(budgeted.read(call_purpose::claim, "key").hasValue());
    BOOST_TEST(store.calls() == 8U);
    const call_counts claims = budgeted.counts(call_purpose::claim);
    BOOST_TEST(claims.reads == 4U);
    BOOST_TEST(claims.failures == 1U);
    BOOST_TEST(claims.refusedDuringBackoff == 1U);
    BOOST_TEST(budgeted.counts(call_purpose::account).writes == 4U);
    BOOST_TEST(budgeted.counts(call_purpose::account).refusedOverBudget == 6U);
}

BOOST_AUTO_TEST_SUITE_END()
