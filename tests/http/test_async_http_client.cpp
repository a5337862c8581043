#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/async_http_client.h"
#include "http/memory_account.h"
#include "tests/http/scripted_server.h"
#include "tests/stand_ins/free_port.h"

using namespace snipefall;
using end = scripted_server::reply::end;
using kind = client_result::kind;

namespace {

const std::string OK_RESPONSE = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nok";
const std::string LATE_RESPONSE = "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nContent-Length: 5\r\n\r\nother";

struct response_case
{
    const char *name;
    scripted_server::reply reply;
    kind outcome;
    const char *body;
    bool connectionReused; ///< Whether a second call reuses the connection.
};

std::ostream &operator<<(std::ostream &out, const response_case &row)
{
    return out << row.name;
}

const response_case RESPONSE_CASES[] = {
    {"complete response", {OK_RESPONSE, end::keep}, kind::answered, "ok", true},
    {"complete response, then close", {OK_RESPONSE, end::close}, kind::answered, "ok", false},
    {"late response to an earlier request, then the response", {LATE_RESPONSE + OK_RESPONSE, end::keep}, kind::answered, "ok", true},
    {"only a late response to an earlier request", {LATE_RESPONSE, end::close}, kind::lost, "", false},
    {"extra bytes after the response", {OK_RESPONSE + "HTTP/1.1 200 OK\r\n", end::keep}, kind::answered, "ok", false},
    {"response with Connection: close", {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", end::keep}, kind::answered, "ok", false},
    {"no Content-Length, body ended by close", {"HTTP/1.1 200 OK\r\n\r\nto the end", end::close}, kind::answered, "to the end", false},
    {"no Content-Length, body cut by a reset", {"HTTP/1.1 200 OK\r\n\r\ncut", end::reset}, kind::lost, "", false},
    {"chunked body", {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", end::keep}, kind::answered, "abc", true},
    {"truncated chunked body", {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", end::close}, kind::lost, "", false},
    {"truncated body", {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", end::close}, kind::lost, "", false},
    {"truncated header", {"HTTP/1.1 200 OK\r\nConte", end::close}, kind::lost, "", false},
    {"close without a response", {"", end::close}, kind::lost, "", false},
    {"reset without a response", {"", end::reset}, kind::lost, "", false},
    {"bytes that are not HTTP", {"\x01\x02nonsense\r\n\r\n", end::keep}, kind::malformed, "", false},
    {"no response before the deadline", {"", end::keep}, kind::timed_out, "", false},
};

struct client_fixture
{
    explicit client_fixture(const async_client_options &options = {})
        : client(loop, options)
    {
    }

    async_http_client::call_id
    start(const std::string &address, std::optional<client_result> &result, bool newConnection = false, std::vector<connection_id> avoided = {})
    {
        client_call request;
        request.address = address;
        request.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        request.newConnection = newConnection;
        request.avoidedConnections = std::move(avoided);
        request.deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
        request.matchResponse = [](const http_response_message &answer) {
            if (answer["Request-Id"].empty()) {
                return response_match::unidentified;
            }
            return answer["Request-Id"] == "r" ? response_match::this_call : response_match::other_call;
        };
        return client.start(std::move(request), [&result](client_result ended) { result = std::move(ended); });
    }

    client_result call(const std::string &address, bool newConnection = false, std::vector<connection_id> avoided = {})
    {
        std::optional<client_result> result;
        start(address, result, newConnection, std::move(avoided));
        while (!result) {
            loop.run_one();
        }
        return std::move(*result);
    }

    boost::asio::io_context loop;
    async_http_client client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(async_http_client_tests)

// Guards against a truncated, mismatched or malformed response being reported as an answer, and against reuse of a connection in an undefined state.
BOOST_DATA_TEST_CASE(incompleteResponsesAreFailures, boost::unit_test::data::make(RESPONSE_CASES), row)
{
    scripted_server server({row.reply, {OK_RESPONSE, end::keep}});
    {
        client_fixture fixture;
        const client_result first = fixture.call(server.address());
        BOOST_TEST((first.outcome == row.outcome));
        BOOST_TEST(first.response.body() == row.body);
        // The server's close may arrive later than its response.
        fixture.loop.run_for(std::chrono::milliseconds(30));
        const client_result second = fixture.call(server.address());
        BOOST_TEST((second.outcome == kind::answered));
        BOOST_TEST(second.reused == row.connectionReused);
    }
    BOOST_TEST(server.requests() == 2U);
}

const std::string UNIDENTIFIED_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
const std::string UNIDENTIFIED_REFUSAL = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";

struct unidentified_case
{
    const char *name;
    std::string first; ///< Response to the first call on the connection.
    std::string second;
    kind outcome; ///< Of the second call.
    const char *body;
};

std::ostream &operator<<(std::ostream &out, const unidentified_case &row)
{
    return out << row.name;
}

const unidentified_case UNIDENTIFIED_CASES[] = {
    {"an extra success before the response", OK_RESPONSE, UNIDENTIFIED_RESPONSE + OK_RESPONSE, kind::malformed, ""},
    {"only a success", OK_RESPONSE, UNIDENTIFIED_RESPONSE, kind::malformed, ""},
    {"a refusal", OK_RESPONSE, UNIDENTIFIED_REFUSAL, kind::answered, ""},
    {"a server that never identifies responses", UNIDENTIFIED_RESPONSE, UNIDENTIFIED_RESPONSE, kind::answered, "other"},
};

// Guards against a repeated response without its id that is taken for the response to the next call on the connection.
BOOST_DATA_TEST_CASE(unidentifiedSuccessIsNoResponseAfterIdentifiedOnes, boost::unit_test::data::make(UNIDENTIFIED_CASES), row)
{
    scripted_server server({{row.first, end::keep}, {row.second, end::keep}, {OK_RESPONSE, end::keep}});
    {
        client_fixture fixture;
        BOOST_TEST((fixture.call(server.address()).outcome == kind::answered));
        const client_result second = fixture.call(server.address());
        BOOST_TEST(second.reused);
        BOOST_TEST((second.outcome == row.outcome));
        BOOST_TEST(second.response.body() == row.body);
        const client_result third = fixture.call(server.address());
        BOOST_TEST((third.outcome == kind::answered));
        BOOST_TEST(third.response.body() == "ok");
        BOOST_TEST(third.reused == (row.outcome == kind::answered));
    }
}

struct endless_case
{
    const char *name;
    const char *start;
    const char *endless;
    kind outcome;
};

std::ostream &operator<<(std::ostream &out, const endless_case &row)
{
    return out << row.name;
}

const endless_case ENDLESS_CASES[] = {
    {"garbage", "", "garbage ", kind::malformed},
    {"a header field", "HTTP/1.1 200 OK\r\nX: ", "xxxxxxxxxxxxxxxx", kind::malformed},
    {"header fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n", kind::malformed},
    {"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef0123456789abcdef0123456789abcdef", kind::malformed},
    {"a chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "20\r\n0123456789abcdef0123456789abcdef\r\n", kind::malformed},
    {"a chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;", "xxxxxxxxxxxxxxxx", kind::malformed},
    {"late responses to an earlier request", "", "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nContent-Length: 0\r\n\r\n", kind::malformed},
};

// Guards against a call that reads, or buffers, bytes without end until the server closes.
BOOST_DATA_TEST_CASE(endlessResponsesEndTheCall, boost::unit_test::data::make(ENDLESS_CASES), row)
{
    // A response may be as long as the client's limit; sockets buffer some more.
    constexpr std::size_t MAX_BYTES = 64U << 20U;
    scripted_server server({{row.start, end::keep, row.endless}});
    {
        client_fixture fixture;
        const client_result result = fixture.call(server.address());
        BOOST_TEST((result.outcome == row.outcome || result.outcome == kind::timed_out));
        BOOST_TEST(fixture.client.connectionsTo(server.address()) == 0U);
    }
    BOOST_TEST(server.endlessBytes() < MAX_BYTES);
}

// Guards against an answer for a caller that has left, which takes memory until it has come to its end.
BOOST_AUTO_TEST_CASE(discardedBodiesTakeNoMemory)
{
    const std::string body(1U << 20U, 'a');
    scripted_server server({{"HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" + body, end::keep}, {OK_RESPONSE, end::keep}});
    const auto memory = std::make_shared<memory_account>();
    async_client_options options;
    options.memory = memory;
    client_fixture fixture(options);
    std::optional<client_result> result;
    const auto id = fixture.start(server.address(), result);
    fixture.client.discardBody(id);
    std::size_t most = 0;
    while (!result) {
        fixture.loop.run_one();
        most = std::max(most, memory->used());
    }
    BOOST_TEST((result->outcome == kind::answered));
    BOOST_TEST(result->response.body().empty());
    BOOST_TEST(most < body.size() / 8);
    BOOST_TEST(fixture.client.connectionsTo(server.address()) == 0U);
}

// Guards against a process that a trailer line too long for the parser ends.
BOOST_AUTO_TEST_CASE(tooLongTrailerLinesAreMalformed)
{
    const std::string response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Filler: " + std::string(65560, 'a') + "\r\n\r\n";
    scripted_server server({{response, end::keep}});
    client_fixture fixture;
    BOOST_TEST((fixture.call(server.address()).outcome == kind::malformed));
}

// Guards against a transparent resend after a reused connection closes, which could execute a request twice without the caller's knowledge.
BOOST_AUTO_TEST_CASE(lostRequestsAreNotResent)
{
    scripted_server server({{OK_RESPONSE, end::keep}, {"", end::close}, {OK_RESPONSE, end::keep}});
    {
        client_fixture fixture;
        BOOST_TEST((fixture.call(server.address()).outcome == kind::answered));
        BOOST_TEST((fixture.call(server.address()).outcome == kind::lost));
    }
    BOOST_TEST(server.requests() == 2U);
}

// Guards against a late response that is taken for the response to another call with the same id on the same connection.
BOOST_AUTO_TEST_CASE(avoidedConnectionsAreNotReused)
{
    scripted_server server({{OK_RESPONSE, end::keep}});
    {
        client_fixture fixture;
        const client_result first = fixture.call(server.address());
        const client_result second = fixture.call(server.address(), false, {first.connection});
        BOOST_TEST(!second.reused);
        BOOST_TEST((second.connection != first.connection));
        // The avoided connection stays in the pool for other calls.
        BOOST_TEST((fixture.call(server.address(), false, {second.connection}).connection == first.connection));
    }
    BOOST_TEST(server.connections() == 2U);
}

// Guards against a request that must not run twice being sent on an idle connection that the server may have closed already.
BOOST_AUTO_TEST_CASE(newConnectionIsOpenedWhenRequired)
{
    scripted_server server({{OK_RESPONSE, end::keep}});
    {
        client_fixture fixture;
        fixture.call(server.address());
        BOOST_TEST(!fixture.call(server.address(), true).reused);
    }
    BOOST_TEST(server.connections() == 2U);
}

BOOST_AUTO_TEST_CASE(unreachableServersAreReportedAsNotSent)
{
    client_fixture fixture;
    BOOST_TEST((fixture.call("127.0.0.1:" + std::to_string(freePort())).outcome == kind::not_sent));
    BOOST_TEST((fixture.call("nonsense").outcome == kind::not_sent));
}

// Guards against an abandoned call that occupies its connection and a slot of the server until its original deadline.
BOOST_AUTO_TEST_CASE(shortenedDeadlineEndsCall)
{
    scripted_server server({{"", end::keep}});
    {
        client_fixture fixture;
        client_call request;
        request.address = server.address();
        request.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        request.deadline = std::chrono::steady_clock::now() + std::chrono::hours(1);
        std::optional<client_result> result;
        const auto id = fixture.client.start(std::move(request), [&result](client_result ended) { result = std::move(ended); });
        fixture.client.shortenDeadline(id, std::chrono::milliseconds(20));
        while (!result) {
            fixture.loop.run_one();
        }
        BOOST_TEST((result->outcome == kind::timed_out || result->outcome == kind::not_sent));
        BOOST_TEST(fixture.client.connectionsTo(server.address()) == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
