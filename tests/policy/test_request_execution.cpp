#include <algorithm>
#include <deque>
#include <map>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/query_admission.h"
#include "policy/request_execution.h"
#include "policy/return_schedule.h"
#include "policy/route_latency_tracker.h"
#include "policy/server_announcement.h"
#include "policy/shared_retry_budget.h"

using namespace snipefall;

namespace {

using std::chrono::milliseconds;

const time_point START{std::chrono::hours(1)};

/** A route with its services, by default with two servers each, and one request for it. */
struct request_fixture
{
    explicit request_fixture(std::size_t shards, bool idempotent = true, std::size_t serversPerService = 2)
        : servers(failure_domain_id("here"), 1)
    {
        budget.setLimits({1.0, 1000, std::chrono::seconds(10)}, 1);
        route.name = "route";
        route.idempotent = idempotent;
        route.maxServers = 2;
        route.timeout = milliseconds(1000);
        route.targetLatency = milliseconds(100);
        route.minCoverage = 0.75;
        for (std::size_t i = 0; i < std::max<std::size_t>(shards, 1); ++i) {
            services.emplace_back("service-" + std::to_string(i));
            for (std::size_t k = 0; k < serversPerService; ++k) {
                backend_entry entry;
                entry.id = backend_server_id("server-" + std::to_string(i) + "-" + std::to_string(k));
                entry.service = services.back();
                entry.address = "10.0.0.1:80";
                entry.domain = failure_domain_id("here");
                servers.apply(entry, START);
            }
        }
        if (shards > 0) {
            route.shards = services;
        }
        times = {START, START + milliseconds(90), START + milliseconds(990), START + milliseconds(1000)};
    }

    request_execution start(execution_step &step, request_execution::run_mode mode = request_execution::run_mode::normal)
    {
        request_execution execution(route, services, times, servers, budget, returns, latencies, admission, mode);
        step = execution.start(START);
        return execution;
    }

    /** Makes the admission reject most queries at START. */
    void overload()
    {
        for (int i = 100; i >= 0; --i) {
            admission.recordResponse(route, milliseconds(i > 80 ? 5 : 400), START - milliseconds(10) * i);
        }
    }

    request_route route;
    std::vector<service_id> services;
    request_times times;
    backend_table servers;
    shared_retry_budget budget;
    return_schedule returns;
    route_latency_tracker latencies;
    query_admission admission{1};
};

struct failure_case
{
    const char *name;
    bool idempotent;
    attempt_outcome outcome;
    bool repeated; ///< Whether the request must be retried on another server.
    execution_result::kind result; ///< Expected result if the request is not retried.
};

std::ostream &operator<<(std::ostream &out, const failure_case &row)
{
    return out << row.name;
}

struct trial_case
{
    const char *name;
    std::size_t shards;
    attempt_outcome outcome; ///< Of the first sub-request; timed_out if it stays without an end.
    std::size_t servers; ///< Servers that get the request by its end.
};

std::ostream &operator<<(std::ostream &out, const trial_case &row)
{
    return out << row.name;
}

const trial_case TRIAL_CASES[] = {
    {"query, lost", 8, attempt_outcome::lost, 1},
    {"query, malformed", 8, attempt_outcome::malformed, 1},
    {"query, no end", 8, attempt_outcome::timed_out, 1},
    {"query, answered", 8, attempt_outcome::answered, 8},
    {"query, server error", 8, attempt_outcome::server_error, 9},
    {"query, refused by the server", 8, attempt_outcome::not_run, 2},
    {"query, no connection", 8, attempt_outcome::unreachable, 2},
    {"request to one server, lost", 0, attempt_outcome::lost, 1},
    {"request to one server, no end", 0, attempt_outcome::timed_out, 1},
    {"request to one server, answered", 0, attempt_outcome::answered, 1},
    {"request to one server, no connection", 0, attempt_outcome::unreachable, 2},
};

const failure_case FAILURE_CASES[] = {
    {"idempotent, lost", true, attempt_outcome::lost, true, execution_result::kind::failed},
    {"idempotent, malformed", true, attempt_outcome::malformed, true, execution_result::kind::failed},
    {"idempotent, server error", true, attempt_outcome::server_error, true, execution_result::kind::failed},
    {"idempotent, refused", true, attempt_outcome::not_run, true, execution_result::kind::failed},
    {"non-idempotent, lost", false, attempt_outcome::lost, false, execution_result::kind::failed},
    {"non-idempotent, malformed", false, attempt_outcome::malformed, false, execution_result::kind::failed},
    {"non-idempotent, timed out", false, attempt_outcome::timed_out, false, execution_result::kind::failed},
    {"non-idempotent, server error", false, attempt_outcome::server_error, false, execution_result::kind::answered},
    {"non-idempotent, refused by the server", false, attempt_outcome::not_run, true, execution_result::kind::failed},
    {"non-idempotent, another server at the address", false, attempt_outcome::wrong_server, true, execution_result::kind::failed},
    {"non-idempotent, no connection", false, attempt_outcome::unreachable, true, execution_result::kind::failed},
};

} // namespace

BOOST_AUTO_TEST_SUITE(request_execution_tests)

// Guards against a non-idempotent request that runs twice, and against an idempotent one that is not retried after its first failure.
BOOST_DATA_TEST_CASE(failuresAreRetriedOnlyIfSafe, boost::unit_test::data::make(FAILURE_CASES), row)
{
    request_fixture fixture(0, row.idempotent);
    execution_step step;
    request_execution execution = fixture.start(step);
    BOOST_REQUIRE(step.sends.size() == 1U);
    const backend_server_id first = step.sends.front().server.id;
    step = execution.subRequestEnded(0, row.outcome, START + milliseconds(5));
    if (!row.repeated) {
        BOOST_REQUIRE(step.result.has_value());
        BOOST_TEST((step.result->outcome == row.result));
        return;
    }
    for (time_point now = START + milliseconds(5); step.sends.empty() && !step.result && now < START + milliseconds(80); now += milliseconds(5)) {
        step = execution.tick(now);
    }
    BOOST_REQUIRE(step.sends.size() == 1U);
    BOOST_TEST((step.sends.front().server.id != first));
}

// Guards against execution_result::kind::not_run for a request that a server may have run.
BOOST_AUTO_TEST_CASE(notRunIsReportedOnlyIfNothingRan)
{
    request_fixture fixture(0, false, 1);
    execution_step step;
    request_execution execution = fixture.start(step);
    BOOST_REQUIRE(step.sends.size() == 1U);
    step = execution.subRequestEnded(0, attempt_outcome::lost, START + milliseconds(5));
    BOOST_REQUIRE(step.result.has_value());
    BOOST_TEST((step.result->outcome == execution_result::kind::failed));

    request_fixture empty(0, false, 0);
    request_execution refused = empty.start(step);
    BOOST_REQUIRE(step.result.has_value());
    BOOST_TEST((step.result->outcome == execution_result::kind::not_run));
    BOOST_TEST(step.result->retryAfter.count() > 0);
}

// Guards against a hedge of a non-idempotent request with a slow server, which would run the request twice.
BOOST_AUTO_TEST_CASE(nonIdempotentRequestsAreNeverHedged)
{
    request_fixture fixture(0, false);
    execution_step step;
    request_execution execution = fixture.start(step);
    for (time_point now = START; now < fixture.times.end; now += milliseconds(10)) {
        step = execution.tick(now);
        BOOST_REQUIRE(step.sends.empty());
        BOOST_REQUIRE(!step.result.has_value());
    }
    step = execution.tick(fixture.times.end);
    BOOST_REQUIRE(step.result.has_value());
    BOOST_TEST((step.result->outcome == execution_result::kind::timed_out));
}

// Guards against queries that miss their target latency because of one slow server.
BOOST_AUTO_TEST_CASE(slowShardsAreHedged)
{
    request_fixture fixture(4);
    execution_step step;
    request_execution execution = fixture.start(step);
    BOOST_REQUIRE(step.sends.size() == 4U);
    const backend_server_id slow = step.sends[2].server.id;
    for (const std::size_t id : {0U, 1U, 3U}) {
        step = execution.subRequestEnded(id, attempt_outcome::answered, START + milliseconds(5));
    }
    step = execution.tick(START + milliseconds(50));
    BOOST_REQUIRE(step.sends.size() == 1U);
    BOOST_TEST(step.sends.front().part == 2U);
    BOOST_TEST((step.sends.front().server.id != slow));
    step = execution.subRequestEnded(step.sends.front().id, attempt_outcome::answered, START + milliseconds(60));
    BOOST_REQUIRE(step.result.has_value());
    BOOST_TEST(step.result->missing == 0U);
    BOOST_TEST(step.result->subRequests.size() == 4U);
}

struct coverage_case
{
    const char *name;
    std::size_t answered; ///< Number of shards, out of eight, answered before the target.
    bool atTarget; ///< Whether the result is returned at the target.
};

std::ostream &operator<<(std::ostream &out, const coverage_case &row)
{
    return out << row.name;
}

const coverage_case COVERAGE_CASES[] = {
    {"all but one", 7, true},
    {"the minimum coverage", 6, true},
    {"below the minimum coverage", 5, false},
    {"nothing", 0, false},
};

// Guards against partial answers below the minimum coverage, and against sufficient answers that wait for the last shard and miss the target.
BOOST_DATA_TEST_CASE(partialAnswersAreSentAtTheTarget, boost::unit_test::data::make(COVERAGE_CASES), row)
{
    request_fixture fixture(8);
    execution_step step;
    request_execution execution = fixture.start(step);
    for (std::size_t id = 0; id < row.answered; ++id) {
        step = execution.subRequestEnded(id, attempt_outcome::answered, START + milliseconds(5));
        BOOST_REQUIRE(!step.result.has_value());
    }
    step = execution.tick(fixture.times.target - milliseconds(1));
    BOOST_REQUIRE(!step.result.has_value());
    step = execution.tick(fixture.times.target);
    BOOST_TEST(step.result.has_value() == row.atTarget);
    if (step.result) {
        BOOST_TEST(step.result->missing == 8 - row.answered);
        BOOST_TEST(step.result->subRequests.size() == row.answered);
    }
}

// Guards against a query that stays open until its end although its minimum coverage can't be reached any more.
BOOST_AUTO_TEST_CASE(unreachableCoverageEndsTheQueryAtOnce)
{
    request_fixture fixture(4, true, 0);
    execution_step step;
    request_execution execution = fixture.start(step);
    BOOST_REQUIRE(step.result.has_value());
    BOOST_TEST((step.result->outcome == execution_result::kind::not_run));
}

// Guards against retries that send one request to more servers of a service than request_route::maxServers.
BOOST_AUTO_TEST_CASE(requestNeverReachesMoreServersThanAllowed)
{
    request_fixture fixture(0, true, 4);
    execution_step step;
    request_execution execution = fixture.start(step);
    std::map<backend_server_id, int> reached;
    for (time_point now = START; !step.result && now < START + milliseconds(900); now += milliseconds(20)) {
        for (const sub_request_send &sent : step.sends) {
            ++reached[sent.server.id];
        }
        const std::vector<std::size_t> waiting = execution.inFlight();
        step = waiting.empty() ? execution.tick(now) : execution.subRequestEnded(waiting.front(), attempt_outcome::lost, now);
    }
    BOOST_TEST(reached.size() == 2U);
}

// Guards against a query that is sent to some shards although too many others can't take it in time, and against callers that all return at the same time.
BOOST_AUTO_TEST_CASE(queryIsRefusedWhileTooManyShardsArePaused)
{
    request_fixture fixture(4, true, 1);
    const time_point end = START + milliseconds(200);
    for (const char *id : {"server-0-0", "server-1-0"}) {
        fixture.servers.noteAnnouncement(backend_server_id(id), {false, std::nullopt, milliseconds(200)}, START, START);
    }
    duration before{};
    for (int i = 0; i < 5; ++i) {
        execution_step step;
        fixture.start(step);
        BOOST_TEST(step.sends.empty());
        BOOST_REQUIRE(step.result.has_value());
        BOOST_TEST((step.result->outcome == execution_result::kind::not_run));
        BOOST_TEST((step.result->retryAfter >= end - START));
        BOOST_TEST((step.result->retryAfter > before));
        before = step.result->retryAfter;
    }
}

// Guards against queries that use up the limited requests of some shards although they can't get enough other shards.
BOOST_AUTO_TEST_CASE(queryIsRefusedWhileTooManyShardsAreAtTheirLimit)
{
    request_fixture fixture(4, true, 1);
    server_announcement announced;
    announced.requestsPerSecond = 4;
    for (const char *id : {"server-0-0", "server-1-0"}) {
        fixture.servers.noteAnnouncement(backend_server_id(id), announced, START, START);
    }
    const time_point later = START + milliseconds(300);
    fixture.times = {later, later + milliseconds(90), later + milliseconds(990), later + milliseconds(1000)};
    std::size_t answered = 0;
    duration before{};
    for (int i = 0; i < 3; ++i) {
        request_execution execution(
            fixture.route, fixture.services, fixture.times, fixture.servers, fixture.budget, fixture.returns, fixture.latencies, fixture.admission);
        const execution_step step = execution.start(later);
        if (!step.result) {
            BOOST_TEST(step.sends.size() == 4U);
            ++answered;
            continue;
        }
        BOOST_TEST(step.sends.empty());
        BOOST_TEST((step.result->outcome == execution_result::kind::not_run));
        BOOST_TEST((step.result->retryAfter > before));
        before = step.result->retryAfter;
    }
    BOOST_TEST(answered == 1U);
}

// Guards against refusing a query whose shards become available before its target latency.
BOOST_AUTO_TEST_CASE(queryWaitsForShortPauses)
{
    request_fixture fixture(4, true, 1);
    for (const char *id : {"server-0-0", "server-1-0"}) {
        fixture.servers.noteAnnouncement(backend_server_id(id), {false, std::nullopt, milliseconds(10)}, START, START);
    }
    execution_step step;
    request_execution execution = fixture.start(step);
    BOOST_TEST(step.sends.size() == 2U);
    step = execution.tick(START + milliseconds(10));
    BOOST_TEST(step.sends.size() == 2U);
}

struct excluded_server_case
{
    const char *name;
    void (*exclude)(backend_table &servers, const backend_server_id &id);
};

std::ostream &operator<<(std::ostream &out, const excluded_server_case &row)
{
    return out << row.name;
}

const excluded_server_case EXCLUDED_SERVER_CASES[] = {
    {"it leaves",
     [](backend_table &servers, const backend_server_id &id) {
         servers.noteAnnouncement(id, {true, std::nullopt, std::nullopt}, START, START);
     }},
    {"another server has its address", [](backend_table &servers, const backend_server_id &id) { servers.noteAddressReused(id); }},
    {"its version is stopped",
     [](backend_table &servers, const backend_server_id &id) {
         servers.setVersionShares({{servers.find(id)->service, {servers.find(id)->version, 0, false, {}}}});
     }},
};

// Guards against a running request that repeats a lost sub-request on its only allowed server although the node has since learned not to use that server.
BOOST_DATA_TEST_CASE(runningRequestDoesNotReturnToExcludedServer, boost::unit_test::data::make(EXCLUDED_SERVER_CASES), row)
{
    request_fixture fixture(0);
    fixture.route.maxServers = 1;
    execution_step step;
    request_execution execution = fixture.start(step);
    BOOST_REQUIRE(step.sends.size() == 1U);
    row.exclude(fixture.servers, step.sends.front().server.id);
    step = execution.subRequestEnded(0, attempt_outcome::lost, START + milliseconds(5));
    BOOST_TEST(step.sends.empty());
    BOOST_REQUIRE(step.result.has_value());
    BOOST_TEST((step.result->outcome == execution_result::kind::failed));
}

// Guards against hedges and retries without a token of the shared_retry_budget.
BOOST_AUTO_TEST_CASE(extraSubRequestsNeedTokens)
{
    request_fixture fixture(0);
    fixture.budget.setLimits({0.0, 0, std::chrono::seconds(10)}, 1);
    execution_step step;
    request_execution execution = fixture.start(step);
    step = execution.tick(START + milliseconds(60));
    BOOST_TEST(step.sends.empty());
    step = execution.subRequestEnded(0, attempt_outcome::lost, START + milliseconds(70));
    BOOST_TEST(step.sends.empty());
    BOOST_REQUIRE(step.result.has_value());
    BOOST_TEST((step.result->outcome == execution_result::kind::failed));
}

// Guards against a request that waits until its end for a connection or server that no longer responds.
BOOST_AUTO_TEST_CASE(unansweredAttemptsTimeOutAndAreRetried)
{
    request_fixture fixture(0, true, 1);
    execution_step step;
    request_execution execution = fixture.start(step);
    bool abandoned = false;
    bool repeated = false;
    for (time_point now = START; now < fixture.times.end; now += milliseconds(10)) {
        step = execution.tick(now);
        abandoned = abandoned || !step.abandoned.empty();
        repeated = repeated || !step.sends.empty();
    }
    BOOST_TEST(abandoned);
    BOOST_TEST(repeated);
}

// Guards against a request without a result at request_times::end.
BOOST_AUTO_TEST_CASE(requestsTimeOutAtTheirEnd)
{
    for (const std::size_t shards : {0U, 4U}) {
        request_fixture fixture(shards);
        execution_step step;
        request_execution execution = fixture.start(step);
        step = execution.tick(fixture.times.end);
        BOOST_REQUIRE(step.result.has_value());
        BOOST_TEST((step.result->outcome == execution_result::kind::timed_out));
    }
}

struct lost_query_case
{
    const char *name;
    std::size_t answered; ///< Number of shards that answer before the connections of all others are lost.
    std::size_t repeats; ///< Number of retries expected although the connection of every retry is lost, too.
    bool resultKnown; ///< Whether the query must end within the simulated time.
};

std::ostream &operator<<(std::ostream &out, const lost_query_case &row)
{
    return out << row.name;
}

const lost_query_case LOST_QUERY_CASES[] = {
    {"no shard answers", 0, 1, true},
    {"one shard answers", 1, 7, false},
};

// Guards against a query that crashes the servers of all shards through its retries, and against a query that is no longer retried because a few servers
// crashed although another one answered it.
BOOST_DATA_TEST_CASE(crashingQueryIsRetriedOnOneServer, boost::unit_test::data::make(LOST_QUERY_CASES), row)
{
    request_fixture fixture(8);
    execution_step step;
    request_execution execution = fixture.start(step);
    BOOST_REQUIRE(step.sends.size() == 8U);
    std::vector<std::size_t> repeats;
    const auto collect = [&repeats](const execution_step &made) {
        for (const sub_request_send &send : made.sends) {
            repeats.push_back(send.id);
        }
    };
    time_point now = START + milliseconds(2);
    for (std::size_t id = 0; id < 8; ++id) {
        step = execution.subRequestEnded(id, id < row.answered ? attempt_outcome::answered : attempt_outcome::lost, now);
        collect(step);
    }
    std::size_t ended = 0;
    for (; !step.result && now < START + milliseconds(60); now += milliseconds(1)) {
        step = execution.tick(now);
        collect(step);
        for (; ended < repeats.size() && ended < row.repeats && !step.result; ++ended) {
            step = execution.subRequestEnded(repeats[ended], attempt_outcome::lost, now);
            collect(step);
        }
    }
    BOOST_TEST(repeats.size() >= row.repeats);
    BOOST_TEST((row.answered > 0 || repeats.size() == row.repeats));
    BOOST_TEST(step.result.has_value() == row.resultKnown);
}

// Guards against a rejected query that still sends sub-requests, and against one whose answer claims that it may have run.
BOOST_AUTO_TEST_CASE(rejectedQueriesSendNothing)
{
    request_fixture fixture(4);
    fixture.overload();
    std::size_t rejected = 0;
    for (int i = 0; i < 10; ++i) {
        execution_step step;
        request_execution execution = fixture.start(step);
        if (!step.result) {
            continue;
        }
        ++rejected;
        BOOST_TEST(step.sends.empty());
        BOOST_TEST((step.result->outcome == execution_result::kind::not_run));
        BOOST_TEST(step.result->reason == "overloaded");
        BOOST_TEST(step.result->retryAfter.count() > 0);
        BOOST_TEST((step.result->retryAfter <= milliseconds(1000) / 3));
    }
    BOOST_TEST(rejected >= 5U);
}

// Guards against an admission that learns of late queries only when they end, while more of them arrive.
BOOST_AUTO_TEST_CASE(lateQueriesCountBeforeTheyEnd)
{
    request_fixture fixture(4);
    fixture.admission.recordResponse(fixture.route, milliseconds(5), START);
    std::deque<request_execution> running;
    for (time_point now = START; now < START + milliseconds(800); now += milliseconds(20)) {
        const request_times times{now, now + milliseconds(90), now + milliseconds(990), now + milliseconds(1000)};
        running.emplace_back(fixture.route, fixture.services, times, fixture.servers, fixture.budget, fixture.returns, fixture.latencies, fixture.admission);
        running.back().start(now);
        for (request_execution &execution : running) {
            BOOST_TEST(!execution.tick(now).result.has_value());
        }
    }
    BOOST_TEST(fixture.admission.isThrottled(fixture.route, START + milliseconds(800)));
}

// Guards against a trial of a request that may crash servers in which more than one server gets it before one has answered.
BOOST_DATA_TEST_CASE(trialReachesOneServerBeforeAnAnswer, boost::unit_test::data::make(TRIAL_CASES), row)
{
    request_fixture fixture(row.shards);
    execution_step step;
    request_execution execution = fixture.start(step, request_execution::run_mode::trial);
    BOOST_REQUIRE(step.sends.size() == 1U);
    std::deque<std::size_t> unanswered;
    std::size_t sent = 1;
    step = row.outcome == attempt_outcome::timed_out ? execution.tick(START + milliseconds(5))
                                                     : execution.subRequestEnded(0, row.outcome, START + milliseconds(5));
    for (time_point now = START + milliseconds(5); !step.result && now <= fixture.times.end; now += milliseconds(5)) {
        sent += step.sends.size();
        for (const sub_request_send &planned : step.sends) {
            unanswered.push_back(planned.id);
        }
        const bool harmless = row.outcome == attempt_outcome::answered || row.outcome == attempt_outcome::server_error;
        if (harmless && !unanswered.empty()) {
            step = execution.subRequestEnded(unanswered.front(), attempt_outcome::answered, now);
            unanswered.pop_front();
        } else {
            step = execution.tick(now);
        }
    }
    BOOST_TEST(step.result.has_value());
    BOOST_TEST(sent == row.servers);
}

BOOST_AUTO_TEST_SUITE_END()
