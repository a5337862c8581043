#include <atomic>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/http_call.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "http/http_server.h"
#include "tests/stand_ins/free_port.h"

using namespace snipefall;

namespace {

constexpr std::size_t MAX_BODY_BYTES = 100000;

struct server_case
{
    const char *name;
    std::string method;
    std::string target;
    std::size_t bodyBytes;
    transport_status status;
    int httpStatus;
    bool handled;
};

std::ostream &operator<<(std::ostream &out, const server_case &row)
{
    return out << row.name;
}

const server_case SERVER_CASES[] = {
    {"query string", "GET", "/echo?a=1%202&b=x%2By", 0, transport_status::ok, 200, true},
    {"body at the limit", "POST", "/echo", MAX_BODY_BYTES, transport_status::ok, 200, true},
    {"body over the limit", "POST", "/echo", MAX_BODY_BYTES + 1, transport_status::ok, 413, false},
    {"body far over the limit", "PUT", "/echo", 50 * MAX_BODY_BYTES, transport_status::ok, 413, false},
    {"closed without a response", "POST", "/close", 10, transport_status::closed, 200, true},
    {"exception of the handler", "POST", "/throw", 10, transport_status::ok, 500, true},
};

http_response echo(const http_request &request)
{
    if (request.path == "/throw") {
        throw std::runtime_error("the handler failed");
    }
    http_response response;
    response.closeWithoutResponse = request.path == "/close";
    response.body = request.method + " " + request.parameter("a") + "|" + request.parameter("b") + " " + std::to_string(request.body.size()) + " "
        + request.header("REQUEST-ID") + " " + request.peerAddress + " " + (request.peerPort != 0 ? "port" : "no port");
    return response;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_server_tests)

// Guards the body limit, the status of each response, and the request fields that the server passes to its handler.
BOOST_DATA_TEST_CASE(enforcesBodyLimitAndPassesRequestFields, SERVER_CASES)
{
    std::atomic<int> handled{0};
    http_server_options options;
    options.port = freePort();
    options.maxBodyBytes = MAX_BODY_BYTES;
    http_server server(options, [&](const http_request &request) {
        ++handled;
        return echo(request);
    });
    BOOST_REQUIRE_EQUAL(server.start(), "");
    http_call call;
    call.address = "127.0.0.1:" + std::to_string(options.port);
    call.method = sample.method;
    call.target = sample.target;
    call.body = std::string(sample.bodyBytes, 'x');
    call.headers = {{"Request-Id", "id"}};
    call.timeoutMs = 10000;
    const http_call_result result = executeHttpCall(call);
    BOOST_TEST(std::string(toString(result.status)) == toString(sample.status), result.message);
    BOOST_TEST(result.response.status == sample.httpStatus);
    BOOST_TEST(handled == (sample.handled ? 1 : 0));
    if (sample.status == transport_status::ok && sample.httpStatus == 200) {
        const std::string parameters = sample.method == "GET" ? "1 2|x+y" : "|";
        BOOST_TEST(result.response.body == sample.method + " " + parameters + " " + std::to_string(sample.bodyBytes) + " id 127.0.0.1 port");
    }
}

// Guards against a second server on the same port whose start() reports success.
BOOST_AUTO_TEST_CASE(portInUseIsReported)
{
    http_server_options options;
    options.port = freePort();
    http_server first(options, echo);
    http_server second(options, echo);
    BOOST_TEST(first.start().empty());
    BOOST_TEST(!second.start().empty());
}

BOOST_AUTO_TEST_SUITE_END()
