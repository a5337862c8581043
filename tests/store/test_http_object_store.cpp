#include <chrono>
#include <random>
#include <thread>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "store/http_object_store.h"
#include "tests/stand_ins/free_port.h"
#include "tests/stand_ins/stand_in_platform.h"

using namespace snipefall;

namespace {

constexpr std::size_t MAX_VALUE_BYTES = 1 << 20;
constexpr int WATCHES = 64;
constexpr call_purpose PURPOSE = call_purpose::configuration;

struct platform_fixture
{
    platform_fixture()
        : platform("127.0.0.1", freePort())
        , store({platform.address(), 5000, 5000})
    {
        BOOST_REQUIRE_EQUAL(platform.start(), "");
    }

    stand_in_platform platform;
    http_object_store store;
};

template <typename T>
std::string codeOf(const outcome<T> &result)
{
    return result ? "ok" : std::string(toString(result.reason().code));
}

struct fault_case
{
    const char *name;
    const char *switches;
    long timeoutMs;
    std::string writeCode;
    std::string readCode;
    bool takesEffect;
};

std::ostream &operator<<(std::ostream &out, const fault_case &row)
{
    return out << row.name;
}

const fault_case FAULT_CASES[] = {
    {"no fault", R"({})", 5000, "ok", "ok", true},
    {"answer lost with the connection", R"({"lose_answers":1})", 5000, "unknown_result", "ok", true},
    {"answer after the timeout", R"({"lose_answers":1,"lost_answer_delay_ms":2000})", 300, "unknown_result", "ok", true},
    {"down", R"({"down":true})", 5000, "unavailable", "unavailable", false},
    {"down while an answer would be lost", R"({"down":true,"lose_answers":1})", 5000, "unavailable", "unavailable", false},
    {"slower than the timeout", R"({"slow_ms":2000})", 300, "unknown_result", "unavailable", true},
};

struct key_case
{
    std::string key;
    std::string value;
    std::string code;
};

std::ostream &operator<<(std::ostream &out, const key_case &row)
{
    return out << row.key.substr(0, 40) << " with " << row.value.size() << " bytes";
}

const key_case KEY_CASES[] = {
    {"config/log/1", "{}", "ok"},
    {"moves/service with spaces?and=more&x#y+z", "value", "ok"},
    {"bücher/€", "ü", "ok"},
    {"large", std::string(MAX_VALUE_BYTES, '\n'), "ok"},
    {"too large", std::string(MAX_VALUE_BYTES + 1, 'x'), "invalid_argument"},
    {"not UTF-8", "\xff", "invalid_argument"},
    {"100%?", "value", "invalid_argument"},
    {"", "value", "invalid_argument"},
    {std::string(513, 'k'), "value", "invalid_argument"},
};

struct request_case
{
    std::string method;
    std::string target;
    std::string body;
    int status;
};

std::ostream &operator<<(std::ostream &out, const request_case &row)
{
    return out << row.method << " " << row.target << " " << row.body.substr(0, 40);
}

const request_case REQUEST_CASES[] = {
    {"PUT", "/objects/k", R"({"expected_version":0,"value":"v"})", 200},
    {"PUT", "/objects/k", R"({"expected_version":7,"value":"v"})", 409},
    {"PUT", "/objects/k", R"({"expected_version":0,)", 400},
    {"PUT", "/objects/k", R"({"expected_version":-1,"value":"v"})", 400},
    {"PUT", "/objects/k", R"({"expected_version":0,"value":{}})", 400},
    {"PUT", "/objects/k", R"([])", 400},
    {"PUT", "/objects/k", R"({"expected_version":0,"value":")" + std::string(MAX_VALUE_BYTES + 1, 'x') + "\"}", 413},
    {"PUT", "/objects/k", std::string(7 * MAX_VALUE_BYTES, 'x'), 413},
    {"GET", "/objects/k", "", 404},
    {"GET", "/objects/", "", 404},
    {"DELETE", "/objects/k", "", 404},
    {"GET", "/list?prefix=", "", 200},
    {"GET", "/watch?prefix=&after=0&timeout_ms=0", "", 200},
    {"GET", "/watch?prefix=&after=x&timeout_ms=0", "", 400},
    {"GET", "/watch?prefix=", "", 400},
    {"PUT", "/vms", R"([{"id":"a","address":"127.0.0.1:1","state":"gone"}])", 400},
    {"PUT", "/vms", R"({})", 400},
    {"PUT", "/control", R"({"down":1})", 400},
    {"PUT", "/control", R"({"unknown":true})", 400},
    {"PUT", "/control", R"({)", 400},
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_object_store_tests)

// Guards against write failures with the wrong code: unavailable must mean that nothing was written; a lost response must give unknown_result.
BOOST_DATA_TEST_CASE_F(platform_fixture, failureCodesMatchWriteEffect, FAULT_CASES)
{
    BOOST_REQUIRE(store.write(PURPOSE, "read", "value", object_version(0)));
    BOOST_REQUIRE_EQUAL(platform.control(json::parse(sample.switches)), "");
    http_object_store shortTimeoutStore({platform.address(), 5000, sample.timeoutMs});
    // Calls that must succeed use the long timeout, so that they don't time out on a busy machine.
    http_object_store &reader = sample.readCode == "ok" ? store : shortTimeoutStore;
    BOOST_TEST(codeOf(shortTimeoutStore.write(PURPOSE, "key", "value", object_version(0))) == sample.writeCode);
    BOOST_TEST(codeOf(reader.read(PURPOSE, "read")) == sample.readCode);
    BOOST_TEST(codeOf(reader.list(PURPOSE, "")) == sample.readCode);
    BOOST_TEST(codeOf(reader.watch(PURPOSE, "", 0, 10)) == sample.readCode);
    BOOST_TEST(codeOf(reader.listVms()) == sample.readCode);
    BOOST_REQUIRE_EQUAL(platform.control({{"down", false}, {"slow_ms", 0}, {"lose_answers", 0}}), "");
    // A slow write takes effect after its caller has timed out.
    for (int i = 0; i < 1000 && sample.takesEffect && !store.read(PURPOSE, "key"); ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    BOOST_TEST(store.read(PURPOSE, "key").hasValue() == sample.takesEffect);
    BOOST_TEST(platform.state()["calls"]["write"] == 2);
}

// Guards against a failure to connect that is reported as unknown_result, as if the write could have taken effect.
BOOST_AUTO_TEST_CASE(refusedConnectionIsUnavailable)
{
    http_object_store store({"127.0.0.1:" + std::to_string(freePort()), 500, 1000});
    BOOST_TEST(codeOf(store.write(PURPOSE, "key", "value", object_version(0))) == "unavailable");
    BOOST_TEST(codeOf(store.read(PURPOSE, "key")) == "unavailable");
}

// Guards against keys and values that encoding alters in transit, and against prefixes that match other keys.
BOOST_DATA_TEST_CASE_F(platform_fixture, keysAndValuesArriveUnchanged, KEY_CASES)
{
    const auto written = store.write(PURPOSE, sample.key, sample.value, object_version(0));
    BOOST_TEST(codeOf(written) == sample.code);
    if (!written) {
        BOOST_TEST(store.list(PURPOSE, "")->empty());
        return;
    }
    BOOST_TEST(store.read(PURPOSE, sample.key)->value == sample.value);
    BOOST_TEST(codeOf(store.write(PURPOSE, sample.key, sample.value, object_version(0))) == "conflict");
    BOOST_TEST(store.write(PURPOSE, sample.key, sample.value, object_version(1))->value() == 2U);
    BOOST_TEST(store.list(PURPOSE, sample.key)->size() == 1U);
    BOOST_TEST(store.list(PURPOSE, "z").value().empty());
    const auto changes = store.watch(PURPOSE, sample.key, 0, 1000);
    BOOST_REQUIRE(changes);
    BOOST_TEST(changes->objects.front().key == sample.key);
    BOOST_TEST(store.watch(PURPOSE, sample.key, changes->revision, 10)->objects.empty());
}

// Guards the HTTP statuses of the platform's contract, which stand_in_platform and the real platform must share.
BOOST_DATA_TEST_CASE_F(platform_fixture, statusesMatchPlatformContract, REQUEST_CASES)
{
    http_call call;
    call.address = platform.address();
    call.method = sample.method;
    call.target = sample.target;
    call.body = sample.body;
    call.timeoutMs = 10000;
    const http_call_result result = executeHttpCall(call);
    BOOST_TEST(std::string(toString(result.status)) == "ok", result.message);
    BOOST_TEST(result.response.status == sample.status, result.response.body);
}

// Guards against waiting watches that a write does not end, and against many watches that occupy all server threads and block other calls.
BOOST_FIXTURE_TEST_CASE(writeEndsWaitingWatches, platform_fixture)
{
    std::vector<std::thread> watchers;
    watchers.reserve(WATCHES);
    std::atomic<int> watchesWithChange{0};
    for (int i = 0; i < WATCHES; ++i) {
        watchers.emplace_back([&] {
            const auto changes = store.watch(PURPOSE, "config/", 0, 20000);
            watchesWithChange += changes && changes->objects.size() == 1 ? 1 : 0;
        });
    }
    for (int i = 0; i < 2000 && platform.state()["calls"].value("watch", 0) < WATCHES; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    BOOST_TEST(store.write(PURPOSE, "config/log/1", "{}", object_version(0)).hasValue());
    for (std::thread &watcher : watchers) {
        watcher.join();
    }
    BOOST_TEST(watchesWithChange == WATCHES);
}

// Guards against a stand_in_platform whose list of VMs shows a change before the configured lag has passed.
BOOST_FIXTURE_TEST_CASE(vmListShowsChangesAfterLag, platform_fixture)
{
    const auto put = [&](const std::string &body) { return platform.handle({"PUT", "/vms", "", {}, body, "", 0}).status; };
    BOOST_REQUIRE(put(R"([{"id":"a","address":"127.0.0.1:1","service":"s","version":"v","domain":"d","state":"leaving"}])") == 200);
    BOOST_REQUIRE_EQUAL(store.listVms()->size(), 1U);
    BOOST_TEST(store.listVms()->front().state == "leaving");
    BOOST_REQUIRE_EQUAL(platform.control({{"vm_list_lag_ms", 3600000}}), "");
    BOOST_REQUIRE(put("[]") == 200);
    BOOST_TEST(store.listVms()->size() == 1U);
}

// Guards against conditional writes that are lost, applied twice or misreported while the platform goes down and loses responses in the same run.
BOOST_FIXTURE_TEST_CASE(writesStayConditionalUnderFaults, platform_fixture)
{
    std::mt19937_64 random(20260901);
    std::map<std::string, std::uint64_t> versions;
    for (int step = 0; step < 400; ++step) {
        const bool down = random() % 5 == 0;
        const bool losesResponse = random() % 3 == 0;
        BOOST_REQUIRE_EQUAL(platform.control({{"down", down}, {"lose_answers", losesResponse ? 1 : 0}}), "");
        const std::string key = "k" + std::to_string(random() % 3);
        const bool stale = random() % 4 == 0;
        const std::uint64_t expected = versions[key] + (stale ? 1 : 0);
        const auto written = store.write(PURPOSE, key, std::to_string(step), object_version(expected));
        BOOST_REQUIRE_EQUAL(codeOf(written), down ? "unavailable" : stale ? "conflict" : losesResponse ? "unknown_result" : "ok");
        versions[key] += !down && !stale ? 1 : 0;
        BOOST_REQUIRE_EQUAL(platform.control({{"down", false}}), "");
        const auto current = store.read(PURPOSE, key);
        BOOST_REQUIRE_EQUAL(current ? current->version.value() : 0, versions[key]);
        BOOST_REQUIRE((down || stale) || current->value == std::to_string(step));
    }
}

BOOST_AUTO_TEST_SUITE_END()
