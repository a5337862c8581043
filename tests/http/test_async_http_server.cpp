#include <array>
#include <functional>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/async_http_server.h"

using namespace snipefall;
using boost::asio::ip::tcp;

namespace {

http_response_message echoResponse(const http_request_message &request)
{
    http_response_message answer(boost::beast::http::status::ok, 11);
    answer.body() = std::string(request.method_string()) + " " + std::string(request.target()) + " " + request.body();
    return answer;
}

struct server_fixture
{
    server_fixture()
        : server(loop, [this](const std::shared_ptr<http_exchange> &exchange) { handle(exchange); })
    {
        BOOST_REQUIRE(!server.listen("127.0.0.1:0"));
        async_server_limits limits;
        limits.headerBytes = 400;
        limits.bodyBytes = 64;
        limits.headerTimeout = std::chrono::milliseconds(300);
        limits.bodyTimeout = std::chrono::milliseconds(300);
        limits.idleTimeout = std::chrono::milliseconds(1500);
        server.setLimits(limits);
    }

    void handle(const std::shared_ptr<http_exchange> &exchange)
    {
        if (holdRequests) {
            heldExchanges.push_back(exchange);
            exchange->onClientDisconnect([this] { ++disconnects; });
            return;
        }
        exchange->respond(echoResponse(exchange->request()));
    }

    tcp::socket connect()
    {
        tcp::socket socket(loop);
        socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), server.port()));
        return socket;
    }

    /** Sends @p bytes and returns everything received until the server closes the connection or @p time has passed. */
    std::string sendAndReceive(tcp::socket &socket, const std::string &bytes, std::chrono::milliseconds time)
    {
        boost::asio::write(socket, boost::asio::buffer(bytes));
        return receive(socket, time);
    }

    std::string receive(tcp::socket &socket, std::chrono::milliseconds time)
    {
        std::string received;
        closed = false;
        std::array<char, 1024> buffer{};
        std::function<void()> read = [&] {
            socket.async_read_some(boost::asio::buffer(buffer), [&](const boost::system::error_code &error, std::size_t count) {
                received.append(buffer.data(), count);
                if (error) {
                    closed = error != boost::asio::error::operation_aborted;
                    return;
                }
                read();
            });
        };
        read();
        const auto until = std::chrono::steady_clock::now() + time;
        while (!closed && std::chrono::steady_clock::now() < until) {
            loop.run_one_for(std::chrono::milliseconds(20));
        }
        socket.cancel();
        loop.run_for(std::chrono::milliseconds(1));
        return received;
    }

    boost::asio::io_context loop;
    async_http_server server;
    std::vector<std::shared_ptr<http_exchange>> heldExchanges;
    bool holdRequests = false;
    bool closed = false;
    int disconnects = 0;
};

struct request_case
{
    const char *name;
    std::string bytes;
    const char *expected; ///< First 12 bytes of the response: HTTP version and status.
    bool closes;
};

std::ostream &operator<<(std::ostream &out, const request_case &row)
{
    return out << row.name;
}

const request_case REQUEST_CASES[] = {
    {"request without a body", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 200", false},
    {"body with Content-Length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 200", false},
    {"chunked body", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "HTTP/1.1 200", false},
    {"request with Connection: close", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "HTTP/1.1 200", true},
    {"HTTP/1.0", "GET /a HTTP/1.0\r\nHost: h\r\n\r\n", "HTTP/1.1 200", true},
    {"bytes that are not HTTP", "\x01\x02\x03\r\n\r\n", "HTTP/1.1 400", true},
    {"Content-Length and Transfer-Encoding",
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     "HTTP/1.1 400",
     true},
    {"two different Content-Length headers", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "HTTP/1.1 400", true},
    {"malformed Content-Length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3x\r\n\r\nabc", "HTTP/1.1 400", true},
    {"header over the limit", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(500, 'x') + "\r\n\r\n", "HTTP/1.1 431", true},
    {"body over the limit", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", "HTTP/1.1 413", true},
    {"chunked body over the limit",
     "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n" + std::string(80, 'x') + "\r\n0\r\n\r\n",
     "HTTP/1.1 413",
     true},
    {"incomplete header", "GET /a HTTP/1.1\r\nHost: h\r\n", "HTTP/1.1 408", true},
    {"incomplete body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na", "HTTP/1.1 408", true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(async_http_server_tests)

// Guards against malformed, oversized, slow or smuggled requests being served or occupying a connection indefinitely.
BOOST_DATA_TEST_CASE(invalidOrSlowRequestsAreRejected, boost::unit_test::data::make(REQUEST_CASES), row)
{
    server_fixture fixture;
    tcp::socket socket = fixture.connect();
    const std::string received = fixture.sendAndReceive(socket, row.bytes, row.closes ? std::chrono::milliseconds(3000) : std::chrono::milliseconds(200));
    BOOST_TEST(received.substr(0, 12) == row.expected);
    BOOST_TEST(fixture.closed == row.closes);
}

// Guards against pipelined requests being lost or answered out of order.
BOOST_AUTO_TEST_CASE(pipelinedRequestsAreAnsweredInOrder)
{
    server_fixture fixture;
    tcp::socket socket = fixture.connect();
    const std::string received =
        fixture.sendAndReceive(socket, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n", std::chrono::milliseconds(300));
    const std::size_t first = received.find("GET /1");
    const std::size_t second = received.find("GET /2");
    BOOST_TEST((first != std::string::npos && second != std::string::npos && first < second));
}

// Guards against backend servers executing a request whose client has disconnected.
BOOST_AUTO_TEST_CASE(clientDisconnectIsReported)
{
    server_fixture fixture;
    fixture.holdRequests = true;
    tcp::socket socket = fixture.connect();
    fixture.sendAndReceive(socket, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", std::chrono::milliseconds(100));
    BOOST_REQUIRE(fixture.heldExchanges.size() == 1U);
    BOOST_TEST(fixture.disconnects == 0);
    socket.close();
    fixture.loop.run_for(std::chrono::milliseconds(100));
    BOOST_TEST(fixture.disconnects == 1);
    fixture.heldExchanges.front()->respond(http_response_message());
}

// Guards against a graceful shutdown that aborts a running request or leaves idle connections open, so that clients stay connected to the node.
BOOST_AUTO_TEST_CASE(shutdownFinishesRunningRequestsAndClosesIdleConnections)
{
    server_fixture fixture;
    fixture.holdRequests = true;
    tcp::socket busy = fixture.connect();
    tcp::socket idle = fixture.connect();
    fixture.sendAndReceive(busy, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", std::chrono::milliseconds(100));
    fixture.server.closeAfterResponses();
    fixture.server.stopAccepting();
    fixture.server.closeIdle();
    fixture.receive(idle, std::chrono::milliseconds(200));
    BOOST_TEST(fixture.closed);
    BOOST_REQUIRE(fixture.heldExchanges.size() == 1U);
    fixture.heldExchanges.front()->respond(echoResponse(fixture.heldExchanges.front()->request()));
    const std::string received = fixture.receive(busy, std::chrono::milliseconds(500));
    BOOST_TEST(received.find("Connection: close") != std::string::npos);
    BOOST_TEST(received.find("GET /a") != std::string::npos);
    BOOST_TEST(fixture.closed);
}

BOOST_AUTO_TEST_SUITE_END()
