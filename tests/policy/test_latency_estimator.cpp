#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/latency_estimator.h"

using namespace snipefall;

namespace {

const latency_key KEY{service_id("order-book"), version_id("7")};

struct shape_case
{
    const char *name;
    std::function<double(std::mt19937_64 &)> drawUs;
};

std::ostream &operator<<(std::ostream &out, const shape_case &row)
{
    return out << row.name;
}

const shape_case SHAPES[] = {
    {"constant", [](auto &) { return 6000.0; }},
    {"uniform", [](auto &random) { return std::uniform_real_distribution<>(100, 50000)(random); }},
    {"log-normal", [](auto &random) { return 6000 * std::exp(std::normal_distribution<>(0, 0.4)(random)); }},
    {"stragglers", [](auto &random) { return random() % 100 == 0 ? 200000.0 : std::uniform_real_distribution<>(4000, 8000)(random); }},
    {"microseconds", [](auto &random) { return static_cast<double>(1 + random() % 40); }},
};

bool isNear(duration value, duration expected)
{
    return std::abs((value - expected).count()) <= expected.count() / 8 + 1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(latency_estimator_tests)

// Guards against hedge delays that do not follow the measured latency: both quantiles must be within one bucket of the exact ones.
BOOST_DATA_TEST_CASE(quantilesAreWithinOneBucket, SHAPES)
{
    std::mt19937_64 random(42);
    latency_estimator estimator;
    std::vector<duration> samples;
    for (int count = 0; count < 10000; ++count) {
        samples.emplace_back(static_cast<duration::rep>(sample.drawUs(random)));
        estimator.record(KEY, samples.back(), time_point(std::chrono::milliseconds(count / 10)));
    }
    std::sort(samples.begin(), samples.end());
    BOOST_TEST(isNear(estimator.estimate(KEY).value().p50, samples[5000]));
    BOOST_TEST(isNear(estimator.estimate(KEY).value().p95, samples[9500]));
}

// Guards against an estimate that does not follow a change of the latency, after many new samples or after a few samples over a long time.
BOOST_AUTO_TEST_CASE(oldSamplesDecay)
{
    for (const auto &[count, pause] : {std::pair(100000, std::chrono::seconds(0)), std::pair(100, std::chrono::seconds(300))}) {
        latency_estimator estimator;
        for (int recorded = 0; recorded < 20000 + count; ++recorded) {
            const bool old = recorded < 20000;
            estimator.record(KEY, std::chrono::milliseconds(old ? 5 : 80), time_point(std::chrono::seconds(1) + (old ? pause * 0 : pause)));
        }
        BOOST_TEST(isNear(estimator.estimate(KEY)->p50, std::chrono::milliseconds(80)));
    }
}

// Guards against unbounded memory, against estimates from too few samples, and against a wrong count of samples outside the range of the buckets.
BOOST_AUTO_TEST_CASE(memoryAndRangeAreBounded)
{
    latency_estimator estimator(2);
    estimator.record(KEY, std::chrono::milliseconds(5), time_point(std::chrono::seconds(1)));
    BOOST_TEST(!estimator.estimate(KEY, 2).has_value());
    for (int version = 0; version < 10; ++version) {
        const latency_key key{KEY.service, version_id("v" + std::to_string(version))};
        estimator.record(key, std::chrono::hours(version), time_point(std::chrono::seconds(2 + version)));
        estimator.record(key, duration(-5), time_point(std::chrono::seconds(2 + version)));
        BOOST_TEST(estimator.estimate(key)->samples == 2U);
        BOOST_TEST(estimator.keys() == 2U);
    }
    BOOST_TEST(!estimator.estimate(KEY).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
