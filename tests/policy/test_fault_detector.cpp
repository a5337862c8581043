#include <concepts>
#include <ostream>
#include <random>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/crypto.h"
#include "policy/fault_detector.h"
#include "policy/version_comparison.h"
#include "policy/version_router.h"
#include "tests/policy/move_samples.h"

using namespace snipefall;
using namespace std::chrono_literals;

namespace {

struct traffic_case
{
    const char *name;
    std::uint32_t share;
    double errorRate; ///< Of the new version from the start of the fault; the old version has 0.5%.
    double latencyFactor; ///< Latency of the new version during the fault, relative to the old version.
    bool warm;
    bool singleRouteFault; ///< The fault affects only one of four routes.
    int faultAfterS;
    int foundWithinS; ///< Seconds after the start of the fault; 0 if it must never be found.
};

std::ostream &operator<<(std::ostream &out, const traffic_case &row)
{
    return out << row.name;
}

// The node receives 200 sub-answers a second, 10 of them from the new version at a share of 5%.
const traffic_case TRAFFIC_CASES[] = {
    {"good", 5, 0.005, 1, true, false, 0, 0},
    {"good at 50%", 50, 0.005, 1, true, false, 0, 0},
    {"half of the answers fail", 5, 0.5, 1, true, false, 0, 2},
    {"half of the answers fail at 100%", 100, 0.5, 1, true, false, 0, 1},
    {"half of the answers fail after a good minute", 50, 0.5, 1, true, false, 60, 1},
    {"all answers of one route fail", 25, 1, 1, true, true, 0, 2},
    {"three times slower", 25, 0.005, 3, true, false, 0, 2},
    {"slow while cold", 25, 0.005, 3, false, false, 0, 0},
};

struct rate_case
{
    std::uint64_t oldEvents;
    std::uint64_t oldTotal;
    std::uint64_t newEvents;
    std::uint64_t newTotal;
    bool strong;
};

std::ostream &operator<<(std::ostream &out, const rate_case &row)
{
    return out << row.newEvents << "/" << row.newTotal;
}

const rate_case RATE_CASES[] = {
    {10, 2000, 1, 100, false},
    {10, 2000, 8, 100, true},
    {0, 0, 50, 100, false},
    {0, 1000, 3, 50, true},
    {1000, 2000, 50, 100, false},
};

/** Whether a fault is found in 40 s of answers, a tenth of them from the new version, whose connections and latencies @p describe sets. */
bool findsFault(std::invocable<sub_request_sample &, int> auto &&describe)
{
    fault_detector detector(sampleMove());
    time_point at{std::chrono::hours(1)};
    for (int i = 0; i < 4000; ++i, at += 10ms) {
        sub_request_sample sample;
        sample.route = "r";
        sample.newVersion = i % 10 == 0;
        sample.at = at;
        describe(sample, i);
        detector.record(sample);
    }
    return detector.check(at).has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(fault_detector_tests)

// Guards against a slow version that isn't detected because each of its answers is the first one on a connection.
BOOST_DATA_TEST_CASE(slowVersionIsDetectedOnNewConnections, boost::unit_test::data::make({true, false}), slow)
{
    const bool found = findsFault([slow](sub_request_sample &sample, int i) {
        sample.newConnection = true;
        sample.latency = (slow && sample.newVersion ? 4 : 1) * std::chrono::milliseconds(10 + i % 7);
    });
    BOOST_TEST(found == slow);
}

// Guards against a slow answer on a new connection being compared with answers on connections that were open already.
BOOST_AUTO_TEST_CASE(connectionSetUpIsNoFaultOfTheVersion)
{
    const bool found = findsFault([](sub_request_sample &sample, int i) {
        sample.newConnection = sample.newVersion || i % 20 == 1;
        sample.latency = std::chrono::milliseconds((sample.newConnection ? 30 : 10) + i % 7);
    });
    BOOST_TEST(!found);
}

// Guards against a faulty version that isn't detected in time, and against a healthy version that is reported as faulty.
BOOST_DATA_TEST_CASE(detectsFaultyVersions, TRAFFIC_CASES)
{
    std::mt19937_64 random(20'260'101);
    std::uniform_real_distribution<double> uniform;
    std::lognormal_distribution<double> spread(0, 0.4);
    fault_detector detector(sampleMove());
    const auto serve = [&](int second, std::uint32_t share, bool faulty) {
        for (int i = 0; i < 200; ++i) {
            const bool isNew = uniform(random) * 100 < share;
            const bool affected = isNew && faulty && (!sample.singleRouteFault || i % 4 == 0);
            const double latencyUs = 20'000 * spread(random) * (affected ? sample.latencyFactor : 1);
            detector.record({"/r" + std::to_string(i % 4),
                             isNew,
                             uniform(random) < (affected ? sample.errorRate : 0.005),
                             !isNew || sample.warm,
                             duration(static_cast<std::int64_t>(latencyUs)),
                             time_point(std::chrono::seconds(second) + 5ms * i)});
        }
        return detector.check(time_point(std::chrono::seconds(second) + 999ms)).has_value();
    };
    int second = 0;
    for (; second < 10; ++second) {
        BOOST_TEST(!serve(second, 5, false));
    }
    detector.setShare(sample.share);
    const int faultAt = second + sample.faultAfterS;
    const int end = faultAt + (sample.foundWithinS > 0 ? sample.foundWithinS : 120);
    bool found = false;
    for (; second < end; ++second) {
        found = serve(second, sample.share, second >= faultAt);
        BOOST_TEST((second >= faultAt || !found));
    }
    BOOST_TEST(found == (sample.foundWithinS > 0));
}

// Guards against false positives at full share: the old version had the same bursts of errors, but no longer gets requests to compare with.
BOOST_AUTO_TEST_CASE(toleratesErrorBursts)
{
    const auto foundAtFullShare = [](bool oldHadBursts) {
        fault_detector detector(sampleMove());
        const auto serve = [&](int second, bool isNew, bool burst) {
            for (int i = 0; i < 200; ++i) {
                detector.record({"/r", isNew, i == 0 || (burst && i % 10 == 0), true, 20ms, time_point(std::chrono::seconds(second) + 5ms * i)});
            }
            return detector.check(time_point(std::chrono::seconds(second) + 999ms)).has_value();
        };
        for (int second = 0; second < 60; ++second) {
            BOOST_REQUIRE(!serve(second, false, oldHadBursts && second % 30 < 2));
        }
        detector.setShare(100);
        return serve(60, true, true);
    };
    BOOST_TEST(!foundAtFullShare(true));
    BOOST_TEST(foundAtFullShare(false));
}

// Guards against false positives from a few stalls of a busy VM: each delays all sub-requests in flight, so their latencies aren't independent.
BOOST_AUTO_TEST_CASE(toleratesStalls)
{
    const auto found = [](bool slowOutsideStalls) {
        fault_detector detector(sampleMove());
        for (int second = 0; second < 10; ++second) {
            for (int i = 0; i < 200; ++i) {
                const bool isNew = i % 20 == 0 || (i >= 100 && i < 105);
                // The new version's sub-requests between 500 ms and 525 ms of some seconds are delayed together.
                const bool slow = isNew && (slowOutsideStalls || (second % 3 == 1 && i >= 100 && i < 105));
                detector.record({"/r", isNew, false, true, slow ? 40ms : 20ms, time_point(std::chrono::seconds(second) + 5ms * i)});
            }
            if (detector.check(time_point(std::chrono::seconds(second) + 999ms))) {
                return true;
            }
        }
        return false;
    };
    BOOST_TEST(!found(false));
    BOOST_TEST(found(true));
}

// Guards against strong evidence, ln(1000) or more, from a difference that is due to chance or that has too few answers behind it.
BOOST_DATA_TEST_CASE(evidenceDistinguishesFaultsFromChance, RATE_CASES)
{
    const double evidence = rateIncreaseEvidence(sample.oldEvents, sample.oldTotal, sample.newEvents, sample.newTotal);
    BOOST_TEST((evidence >= 6.9) == sample.strong, evidence);
}

// Guards against a share above that of the step, queries that return to the old version when the share grows, and queries to a version with a bad_version fact.
BOOST_AUTO_TEST_CASE(routerFollowsShareAndFacts)
{
    const version_id newVersion("v2");
    const version_id configured("v0");
    version_router router(service_id("s"));
    constexpr std::uint64_t QUERIES = 20'000;
    BOOST_CHECK(router.choose(1, SAMPLE_START_MS, configured) == configured);
    std::vector<bool> sentToNew(QUERIES, false);
    for (const std::uint32_t share : {1U, 5U, 10U, 25U, 50U, 100U}) {
        router.setMove(sampleMoveAt(move_state::growing, share, SAMPLE_START_MS + share), true);
        std::uint64_t routed = 0;
        for (std::uint64_t i = 0; i < QUERIES; ++i) {
            const bool toNew = router.choose(stableHash(std::to_string(i)), SAMPLE_START_MS + 200, configured) == newVersion;
            BOOST_REQUIRE((toNew || !sentToNew[i]));
            sentToNew[i] = toNew;
            routed += toNew ? 1 : 0;
        }
        // The tolerance is four standard deviations of the binomial distribution.
        BOOST_TEST(std::abs(static_cast<double>(routed) - QUERIES * share / 100.0) <= 4 * std::sqrt(QUERIES * share * (100.0 - share)) / 100);
    }
    router.addFact({service_id("other"), newVersion, "m1", ""});
    router.addFact({service_id("s"), newVersion, "m0", ""});
    BOOST_CHECK(router.choose(1, SAMPLE_START_MS + 200, configured) == newVersion);
    router.addFact({service_id("s"), newVersion, "m1", ""});
    BOOST_CHECK(router.choose(1, SAMPLE_START_MS + 200, configured) == version_id("v1"));
}

BOOST_AUTO_TEST_SUITE_END()
