#include <future>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/fan_out_engine.h"
#include "tests/http/fault_injecting_server.h"
#include "tests/http/full_backlog_listener.h"
#include "tests/stand_ins/free_port.h"

using namespace snipefall;
using behaviour = fault_injecting_server::behaviour;
using namespace std::chrono_literals;

namespace {

// Larger than the socket buffers of both sides, so that the sender blocks in the middle of the request until the server reads.
constexpr std::size_t LARGE_BODY_BYTES = 8 << 20;

sub_request newRequest(const std::string &address, std::size_t bodyBytes = 10)
{
    sub_request request;
    request.address = address;
    request.target = "/shards/query";
    request.body = std::string(bodyBytes, 'x');
    request.deadline = std::chrono::steady_clock::now() + 20s;
    return request;
}

// The completion shares ownership of the promise because a test may end before the completion is called.
std::future<sub_response> submit(fan_out_engine &engine, sub_request request, std::uint64_t *id = nullptr)
{
    auto promise = std::make_shared<std::promise<sub_response>>();
    const std::uint64_t submitted = engine.submit(std::move(request), [promise](sub_response response) { promise->set_value(std::move(response)); });
    if (id != nullptr) {
        *id = submitted;
    }
    return promise->get_future();
}

sub_response wait(std::future<sub_response> &future)
{
    if (future.wait_for(60s) != std::future_status::ready) {
        throw std::runtime_error("the completion was not called within 60 s");
    }
    return future.get();
}

struct engine_case
{
    const char *name;
    std::vector<behaviour> script; ///< One entry per request. The last request is the one under test; those before it open the connection that it reuses.
    std::size_t bodyBytes;
    std::chrono::milliseconds deadline;
    std::chrono::milliseconds progressTimeout;
    transport_status status;
    bool reused;
    unsigned transmissions;
    unsigned received; ///< How often the server received the request under test, at least in part.
};

std::ostream &operator<<(std::ostream &out, const engine_case &row)
{
    return out << row.name;
}

// A request that was sent only in part has 0 transmissions. One that was sent completely on a connection that the server has closed counts, although the server
// doesn't receive it.
const engine_case ENGINE_CASES[] = {
    {"response", {behaviour::answer}, 10, 20000ms, 20000ms, transport_status::ok, false, 1, 1},
    {"response on a reused connection", {behaviour::answer, behaviour::answer}, 10, 20000ms, 20000ms, transport_status::ok, true, 1, 1},
    {"closed after reading", {behaviour::close_after_reading}, 10, 20000ms, 20000ms, transport_status::closed, false, 1, 1},
    {"reused connection closed after reading", {behaviour::answer, behaviour::close_after_reading}, 10, 20000ms, 20000ms, transport_status::closed, true, 2, 2},
    {"truncated response", {behaviour::truncate_answer}, 10, 20000ms, 20000ms, transport_status::closed, false, 1, 1},
    {"idle connection closed", {behaviour::answer_and_close, behaviour::answer}, 10, 20000ms, 20000ms, transport_status::ok, true, 2, 1},
    {"no response", {behaviour::never_answer}, 10, 20000ms, 300ms, transport_status::no_progress, false, 1, 1},
    {"no response on a reused connection", {behaviour::answer, behaviour::never_answer}, 10, 20000ms, 300ms, transport_status::no_progress, true, 1, 1},
    {"deadline", {behaviour::never_answer}, 10, 2000ms, 20000ms, transport_status::deadline_exceeded, false, 1, 1},
    {"large body, reset after the first bytes",
     {behaviour::reset_after_first_bytes},
     LARGE_BODY_BYTES,
     20000ms,
     20000ms,
     transport_status::closed,
     false,
     0,
     1},
    {"large body, read only in part", {behaviour::stop_reading}, LARGE_BODY_BYTES, 20000ms, 300ms, transport_status::no_progress, false, 0, 1},
    {"large body, deadline", {behaviour::stop_reading}, LARGE_BODY_BYTES, 2000ms, 20000ms, transport_status::deadline_exceeded, false, 0, 1},
};

} // namespace

BOOST_AUTO_TEST_SUITE(fan_out_engine_tests)

// Guards against a sent request being reported as not run, which would break at-most-once execution: each request of which a byte was sent must report that it
// may have reached the server, and the number of its transmissions.
BOOST_DATA_TEST_CASE(reportsTransmissionsAndPossibleDelivery, ENGINE_CASES)
{
    fault_injecting_server server(sample.script);
    fan_out_engine engine(1);
    for (std::size_t i = 1; i < sample.script.size(); ++i) {
        auto before = submit(engine, newRequest(server.address()));
        BOOST_TEST_REQUIRE(std::string(toString(wait(before).status)) == "ok");
    }
    sub_request request = newRequest(server.address(), sample.bodyBytes);
    request.connectTimeout = sample.deadline;
    request.progressTimeout = sample.progressTimeout;
    request.deadline = std::chrono::steady_clock::now() + sample.deadline;
    auto future = submit(engine, request);
    const sub_response response = wait(future);
    BOOST_TEST(std::string(toString(response.status)) == toString(sample.status), response.message);
    BOOST_TEST(response.mayHaveReachedServer);
    BOOST_TEST(response.reusedConnection == sample.reused);
    BOOST_TEST(response.transmissions == sample.transmissions);
    BOOST_TEST(server.requests() == sample.script.size() - 1 + sample.received);
    BOOST_TEST(engine.openConnections() == (sample.status == transport_status::ok ? 1U : 0U));
}

// Guards against requests that were never sent being reported as possibly executed, because callers can't retry these safely.
BOOST_AUTO_TEST_CASE(failedConnectSentNothing)
{
    const full_backlog_listener blocked;
    fan_out_engine engine(1);
    for (const std::string &address : {"127.0.0.1:" + std::to_string(freePort()), blocked.address(), std::string("nonsense")}) {
        sub_request request = newRequest(address);
        request.connectTimeout = 200ms;
        auto future = submit(engine, request);
        const sub_response response = wait(future);
        BOOST_TEST(std::string(toString(response.status)) == "connect_failed", response.message);
        BOOST_TEST(!response.mayHaveReachedServer);
        BOOST_TEST(response.transmissions == 0U);
    }
}

// Guards against a cancelled request that completes twice or is reported as not sent.
BOOST_AUTO_TEST_CASE(cancelClosesTheConnection)
{
    fault_injecting_server server({behaviour::never_answer});
    fan_out_engine engine(1);
    std::uint64_t id = 0;
    auto future = submit(engine, newRequest(server.address()), &id);
    for (int i = 0; i < 2000 && server.requests() == 0; ++i) {
        std::this_thread::sleep_for(5ms);
    }
    engine.cancel(id);
    engine.cancel(id);
    const sub_response response = wait(future);
    BOOST_TEST(std::string(toString(response.status)) == "cancelled");
    BOOST_TEST(response.mayHaveReachedServer);
    BOOST_TEST(engine.openConnections() == 0U);
}

// Guards against callers that wait forever because the engine is destroyed before their requests complete.
BOOST_AUTO_TEST_CASE(destructionCompletesRequests)
{
    fault_injecting_server server({behaviour::never_answer});
    std::vector<std::future<sub_response>> futures;
    {
        fan_out_engine engine(2);
        for (int i = 0; i < 20; ++i) {
            futures.push_back(submit(engine, newRequest(server.address())));
        }
    }
    for (auto &future : futures) {
        BOOST_TEST(std::string(toString(wait(future).status)) == "cancelled");
    }
}

BOOST_AUTO_TEST_SUITE_END()
