#include <atomic>
#include <chrono>
#include <thread>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/http_call.h"
#include "tests/stand_ins/free_port.h"
#include "tests/stand_ins/stand_in_backend.h"

using namespace snipefall;

namespace {

constexpr long NO_TIMEOUT_MS = 20000;

stand_in_backend_options newOptions()
{
    stand_in_backend_options options;
    options.port = freePort();
    options.shards = 4;
    options.held = {0, 2};
    options.snapshots = {"s1", "s2"};
    options.itemsPerShard = 50;
    options.latencyMs = 1;
    return options;
}

struct backend_fixture
{
    explicit backend_fixture(stand_in_backend_options options = newOptions())
        : backend([&] {
            options.crash = [this] { ++crashes; };
            return options;
        }())
    {
        BOOST_REQUIRE_EQUAL(backend.start(), "");
    }

    http_call_result call(const std::string &method, const std::string &target, const std::string &body, long timeoutMs = NO_TIMEOUT_MS) const
    {
        http_call call;
        call.address = backend.address();
        call.method = method;
        call.target = target;
        call.body = body;
        call.connectTimeoutMs = NO_TIMEOUT_MS;
        call.timeoutMs = timeoutMs;
        return executeHttpCall(call);
    }

    http_call_result query(const std::string &snapshot, int shard, long deadlineMs = 5000, long timeoutMs = NO_TIMEOUT_MS) const
    {
        const json body = {{"service", "service"}, {"snapshot", snapshot}, {"shard", shard}, {"sub_id", 7}, {"query", "text"}, {"deadline_ms", deadlineMs}};
        return call("POST", "/shards/query", body.dump(), timeoutMs);
    }

    http_call_result execute(const std::string &id, int token) const
    {
        return call("POST", "/execute", json({{"request_id", id}, {"fencing_token", token}, {"body", "order"}}).dump());
    }

    // Waits until the counter @p kind in "requests", as reported by GET /control, reaches @p count; gives up after 4000 polls of 5 ms.
    void awaitRequests(const char *kind, unsigned count) const
    {
        for (int i = 0; i < 4000 && backend.state()["requests"].value(kind, 0U) < count; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    std::atomic<int> crashes{0};
    stand_in_backend backend;
};

struct refusal_case
{
    std::string method;
    std::string target;
    std::string body;
    int status;
};

std::ostream &operator<<(std::ostream &out, const refusal_case &row)
{
    return out << row.method << " " << row.target << " " << row.body;
}

const refusal_case REFUSAL_CASES[] = {
    {"POST", "/shards/query", R"({"service":"service",)", 400},
    {"POST", "/shards/query", R"([])", 400},
    {"POST", "/shards/query", R"({"service":"service","snapshot":"s1","shard":0,"query":"q"})", 400},
    {"POST", "/shards/query", R"({"service":"service","snapshot":"s1","shard":-1,"sub_id":1,"query":"q"})", 400},
    {"POST", "/shards/query", R"({"service":"other","snapshot":"s1","shard":0,"sub_id":1,"query":"q"})", 404},
    {"POST", "/shards/query", R"({"service":"service","snapshot":"s9","shard":0,"sub_id":1,"query":"q"})", 409},
    {"POST", "/shards/query", R"({"service":"service","snapshot":"s1","shard":1,"sub_id":1,"query":"q"})", 409},
    {"POST", "/shards/query", R"({"service":"service","snapshot":"s1","shard":4294967296,"sub_id":1,"query":"q"})", 409},
    {"POST", "/execute", R"({"request_id":"r"})", 400},
    {"POST", "/execute", R"({)", 400},
    {"POST", "/cancel", R"({})", 400},
    {"GET", "/execute", "", 404},
    {"PUT", "/control", R"({"shed_rate":2})", 400},
    {"PUT", "/control", R"({"bad":{"mode":"sometimes"}})", 400},
    {"PUT", "/control", R"({"cold":{"ramp_ms":"long"}})", 400},
    {"PUT", "/control", R"({"unknown":1})", 400},
    {"PUT", "/control", R"({)", 400},
};

struct switch_case
{
    const char *switches;
    int status; ///< 0: the connection is closed without a response.
    long subId; ///< sub_id of the answer; -1 if the response is an error.
};

std::ostream &operator<<(std::ostream &out, const switch_case &row)
{
    return out << row.switches;
}

const switch_case SWITCH_CASES[] = {
    {R"({})", 200, 7},
    {R"({"drain":true})", 503, -1},
    {R"({"shed_rate":1})", 429, -1},
    {R"({"bad":{"mode":"now","error_rate":1}})", 500, -1},
    {R"({"bad":{"mode":"after_ms","after_ms":1000000,"error_rate":1}})", 200, 7},
    {R"({"bad":{"mode":"route","route":"/execute","error_rate":1}})", 200, 7},
    {R"({"bad":{"mode":"route","route":"/shards/query","error_rate":1}})", 500, -1},
    {R"({"bad":{"mode":"load","load":1,"error_rate":1}})", 200, 7},
    {R"({"straggle":{"probability":1,"ms":2000}})", 504, -1},
    {R"({"drop_snapshot":"s1"})", 409, -1},
    {R"({"add_snapshot":{"id":"s1","shards":2,"held":[1]}})", 409, -1},
    {R"({"crossed_answers":1})", 200, 8},
    {R"({"cold":{"ramp_ms":1000000}})", 200, 7},
};

} // namespace

BOOST_AUTO_TEST_SUITE(stand_in_backend_tests)

// Guards the HTTP statuses of the backend server's protocol: each refusal has the specified status and reports that nothing was executed.
BOOST_DATA_TEST_CASE_F(backend_fixture, refusalsFollowTheContract, REFUSAL_CASES)
{
    const http_call_result result = call(sample.method, sample.target, sample.body);
    BOOST_TEST(std::string(toString(result.status)) == "ok", result.message);
    BOOST_TEST(result.response.status == sample.status, result.response.body);
    BOOST_TEST(json::parse(result.response.body)["error"]["ran"] == "not_run");
}

// Guards against fault switches without effect; the system tests rely on each of them.
BOOST_DATA_TEST_CASE_F(backend_fixture, switchesTakeEffect, SWITCH_CASES)
{
    BOOST_REQUIRE_EQUAL(backend.control(json::parse(sample.switches)), "");
    const http_call_result result = query("s1", 2, 1000);
    BOOST_TEST(result.response.status == sample.status, result.response.body);
    if (sample.subId >= 0) {
        const json answer = json::parse(result.response.body);
        BOOST_TEST(answer["sub_id"] == sample.subId);
        BOOST_TEST(answer["items_seen"] == 50);
        const json expected = {{"server", "server"}, {"version", "v1"}, {"snapshot", "s1"}, {"shard", 2}, {"item", 0}};
        BOOST_TEST(answer["results"][0] == expected);
    }
}

// Guards the counters with which tests verify at-most-once execution: each run is counted, and an execution with an older fencing token is refused.
BOOST_FIXTURE_TEST_CASE(executionsAreCounted, backend_fixture)
{
    BOOST_REQUIRE_EQUAL(backend.control(json::parse(R"({"lose_execute_answers":1})")), "");
    BOOST_TEST(std::string(toString(execute("r", 5).status)) == "closed");
    BOOST_TEST(execute("r", 4).response.status == 409);
    BOOST_TEST(execute("r", 5).response.status == 200);
    BOOST_TEST(execute("other", 1).response.status == 200);
    const json expected =
        json::parse(R"([{"request_id":"other","runs":1,"fencing_token":1,"refused":0},{"request_id":"r","runs":2,"fencing_token":5,"refused":1}])");
    BOOST_TEST(backend.state()["runs"] == expected);
}

// Guards against a crash switch that also crashes the server on other requests.
BOOST_FIXTURE_TEST_CASE(crashOnAffectsOnlyMatchingRequest, backend_fixture)
{
    BOOST_REQUIRE_EQUAL(backend.control(json::parse(R"({"crash_on":"poison"})")), "");
    BOOST_TEST(query("s1", 0).response.status == 200);
    BOOST_TEST(crashes == 0);
    BOOST_TEST(execute("poison", 1).response.status == 200);
    BOOST_TEST(crashes == 1);
}

// Guards against a frozen server that still answers, and against one that can't be stopped or unfrozen.
BOOST_FIXTURE_TEST_CASE(frozenServerNeverAnswers, backend_fixture)
{
    BOOST_REQUIRE_EQUAL(backend.control(json::parse(R"({"freeze":true})")), "");
    BOOST_TEST(std::string(toString(query("s1", 0, 5000, 200).status)) == "deadline_exceeded");
    BOOST_REQUIRE_EQUAL(backend.control(json::parse(R"({"freeze":false})")), "");
    BOOST_TEST(query("s1", 0).response.status == 200);
    BOOST_REQUIRE_EQUAL(backend.control(json::parse(R"({"freeze":true})")), "");
    std::thread waiting([&] { query("s1", 0); });
    awaitRequests("unanswered", 2);
    backend.stop();
    waiting.join();
}

// Guards the switch "silent": connections that are known when it is set get no more responses, and new ones work.
BOOST_FIXTURE_TEST_CASE(silentSwitchAffectsOnlyKnownConnections, backend_fixture)
{
    const auto request = [](unsigned short port) { return http_request{"GET", "/health", "", {}, "", "127.0.0.1", port}; };
    BOOST_TEST(backend.handle(request(1)).status == 200);
    BOOST_REQUIRE_EQUAL(backend.control(json::parse(R"({"silent":true})")), "");
    BOOST_TEST(backend.handle(request(2)).status == 200);
    std::atomic<bool> answered{false};
    std::thread silent([&] { answered = !backend.handle(request(1)).closeWithoutResponse; });
    awaitRequests("unanswered", 1);
    BOOST_REQUIRE_EQUAL(backend.control(json::parse(R"({"silent":false})")), "");
    silent.join();
    BOOST_TEST(!answered);
}

// Guards the concurrency limits: requests beyond the slots and the queue are shed, and the largest number of concurrent requests is reported.
BOOST_AUTO_TEST_CASE(requestsBeyondTheQueueAreShed)
{
    stand_in_backend_options options = newOptions();
    options.queue = 1;
    backend_fixture fixture(options);
    BOOST_REQUIRE_EQUAL(fixture.backend.control(json::parse(R"({"straggle":{"probability":1,"ms":100000}})")), "");
    std::vector<std::thread> callers;
    for (unsigned i = 1; i <= 4; ++i) {
        callers.emplace_back([&] { fixture.query("s1", 0, 100000); });
        fixture.awaitRequests("/shards/query", i);
    }
    fixture.awaitRequests("shed", 1);
    const json state = fixture.backend.state();
    BOOST_TEST(state["requests"]["shed"] == 1);
    BOOST_TEST(state["max_running"] == 2);
    // Two requests run, one is queued, and one was shed. The first cancel ends one of the two running requests, which have the same sub_id.
    const http_call_result cancelled = fixture.call("POST", "/cancel", R"({"sub_id":7})");
    BOOST_TEST(json::parse(cancelled.response.body)["cancelled"] == true);
    BOOST_TEST(json::parse(fixture.call("POST", "/cancel", R"({"sub_id":8})").response.body)["cancelled"] == false);
    fixture.awaitRequests("cancelled", 1);
    BOOST_TEST(fixture.backend.state()["requests"]["cancelled"] == 1);
    fixture.backend.stop();
    for (std::thread &caller : callers) {
        caller.join();
    }
}

// Guards the /status response, on which discovery relies, and the switches that make /status and /health report a wrong state.
BOOST_FIXTURE_TEST_CASE(statusReflectsStateAndMisleadingSwitches, backend_fixture)
{
    const json before = json::parse(call("GET", "/status", "").response.body);
    BOOST_TEST(before["state"] == "serving");
    BOOST_TEST(before["snapshots"][0] == json::parse(R"({"id":"s1","shards_total":4,"items_per_shard":[50,50,50,50],"shards":[0,2]})"));
    BOOST_REQUIRE_EQUAL(backend.control(json::parse(R"({"drain":true,"new_start_time":true})")), "");
    const json draining = json::parse(call("GET", "/status", "").response.body);
    BOOST_TEST(draining["state"] == "draining");
    BOOST_TEST(draining["started_ms"].get<std::uint64_t>() > before["started_ms"].get<std::uint64_t>());
    BOOST_TEST(call("GET", "/health", "").response.status == 200);
    BOOST_REQUIRE_EQUAL(backend.control(json::parse(R"({"misleading_health":true,"health":"unhealthy"})")), "");
    BOOST_TEST(json::parse(call("GET", "/status", "").response.body)["state"] == "serving");
    BOOST_TEST(call("GET", "/health", "").response.status == 503);
}

BOOST_AUTO_TEST_SUITE_END()
