#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/http_call.h"
#include "tests/http/fault_injecting_server.h"
#include "tests/http/full_backlog_listener.h"
#include "tests/stand_ins/free_port.h"

using namespace snipefall;
using behaviour = fault_injecting_server::behaviour;

namespace {

// Larger than the socket buffers of both sides, so that the sender blocks in the middle of the request until the server reads.
constexpr std::size_t LARGE_BODY_BYTES = 8 << 20;

struct call_case
{
    const char *name;
    behaviour server;
    std::size_t bodyBytes;
    long timeoutMs;
    transport_status status;
};

std::ostream &operator<<(std::ostream &out, const call_case &row)
{
    return out << row.name;
}

const call_case CALL_CASES[] = {
    {"response", behaviour::answer, 10, 20000, transport_status::ok},
    {"closed after reading", behaviour::close_after_reading, 10, 20000, transport_status::closed},
    {"truncated response", behaviour::truncate_answer, 10, 20000, transport_status::closed},
    {"no response", behaviour::never_answer, 10, 2000, transport_status::deadline_exceeded},
    {"large body, reset after the first bytes", behaviour::reset_after_first_bytes, LARGE_BODY_BYTES, 20000, transport_status::closed},
    {"large body, read only in part, no response", behaviour::stop_reading, LARGE_BODY_BYTES, 2000, transport_status::deadline_exceeded},
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_call_tests)

// Guards at-most-once execution: the request is sent only once, and each call of which a byte was sent reports that it may have reached the server.
BOOST_DATA_TEST_CASE(sendsOnceAndReportsPossibleDelivery, CALL_CASES)
{
    fault_injecting_server server({sample.server});
    http_call call;
    call.address = server.address();
    call.method = "POST";
    call.target = "/execute";
    call.body = std::string(sample.bodyBytes, 'x');
    call.connectTimeoutMs = sample.timeoutMs;
    call.timeoutMs = sample.timeoutMs;
    const http_call_result result = executeHttpCall(call);
    BOOST_TEST(std::string(toString(result.status)) == toString(sample.status), result.message);
    BOOST_TEST(result.mayHaveReachedServer);
    BOOST_TEST(server.requests() == 1U);
    BOOST_TEST(server.connections() == 1U);
}

// Guards against requests that were never sent being reported as possibly executed, because callers can't retry these safely.
BOOST_AUTO_TEST_CASE(failedConnectSentNothing)
{
    const full_backlog_listener blocked;
    for (const std::string &address :
         {"127.0.0.1:" + std::to_string(freePort()), blocked.address(), std::string("127.0.0.1"), std::string("127.0.0.1:70000")}) {
        http_call call;
        call.address = address;
        call.connectTimeoutMs = 200;
        const http_call_result result = executeHttpCall(call);
        BOOST_TEST(std::string(toString(result.status)) == "connect_failed", address);
        BOOST_TEST(!result.mayHaveReachedServer);
    }
}

BOOST_AUTO_TEST_SUITE_END()
