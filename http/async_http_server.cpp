#include "http/async_http_server.h"

#include <algorithm>

#include "http/endpoint_text.h"
#include "http/memory_account.h"
#include "http/receive_buffer.h"
#include "policy/connections/connection_shedding.h"

namespace snipefall {

namespace {

/** Interval of the timeout checks of all connections, and so the resolution of these timeouts. */
constexpr std::chrono::milliseconds CHECK_INTERVAL(500);
/** Delay before the next accept after a failed one, for example when no file descriptor is free. */
constexpr std::chrono::milliseconds ACCEPT_RETRY_DELAY(100);
/** Accept queue for bursts of new connections. When it is full, the kernel drops SYN packets, which clients retransmit only after a second. */
constexpr int LISTEN_BACKLOG = 1024;

void removeClosed(std::vector<std::shared_ptr<server_connection>> &connections)
{
    connections.erase(std::remove_if(connections.begin(), connections.end(), [](const auto &item) { return !item->isOpen(); }), connections.end());
}

} // namespace

async_http_server::async_http_server(boost::asio::io_context &loop, handler handleRequest)
    : m_loop(loop)
    , m_handler(std::move(handleRequest))
    , m_acceptor(loop)
    , m_checkTimer(loop)
    , m_acceptRetryTimer(loop)
    , m_limits(std::make_shared<async_server_limits>())
{
}

std::optional<std::string> async_http_server::listen(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return "malformed address, expected ip:port: " + address;
    }
    boost::system::error_code error;
    m_acceptor.open(endpoint->protocol(), error);
    if (!error) {
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        // Accepted connections inherit the size.
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(RECEIVE_BUFFER_BYTES), error);
    }
    if (!error) {
        m_acceptor.bind(*endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(LISTEN_BACKLOG, error);
    }
    if (error) {
        boost::system::error_code ignored; // Nothing was accepted yet.
        m_acceptor.close(ignored);
        return "can't listen on " + address + ": " + error.message();
    }
    accept();
    checkConnections();
    return std::nullopt;
}

unsigned short async_http_server::port() const
{
    boost::system::error_code ignored; // On an error the endpoint is empty, so an unbound server reports port 0.
    return m_acceptor.local_endpoint(ignored).port();
}

void async_http_server::setLimits(const async_server_limits &limits)
{
    m_limits = std::make_shared<async_server_limits>(limits);
    for (const auto &connection : m_connections) {
        connection->setLimits(m_limits);
    }
}

void async_http_server::closeAfterResponses()
{
    m_closeAfterResponses = true;
    for (const auto &connection : m_connections) {
        connection->closeAfterResponse();
    }
}

void async_http_server::stopAccepting()
{
    boost::system::error_code ignored; // Closing an acceptor that is already closed is not an error here.
    m_acceptor.close(ignored);
}

void async_http_server::closeIdle()
{
    for (const auto &connection : m_connections) {
        connection->closeIfIdle();
    }
}

std::size_t async_http_server::openConnections() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto &item) { return item->isOpen(); }));
}

void async_http_server::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (error) {
            m_acceptRetryTimer.expires_after(ACCEPT_RETRY_DELAY);
            m_acceptRetryTimer.async_wait([this](const boost::system::error_code &cancelled) {
                if (!cancelled) {
                    accept();
                }
            });
            return;
        }
        boost::system::error_code ignored; // Errors are ignored: without these options the connection is only slower.
        socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        socket.non_blocking(true, ignored);
        if (m_connections.size() >= m_limits->connections && !makeRoom()) {
            ++m_evictedCount;
            accept();
            return;
        }
        const auto connection = std::make_shared<server_connection>(std::move(socket), m_limits, m_memory, m_handler);
        if (m_closeAfterResponses) {
            connection->closeAfterResponse();
        }
        m_connections.push_back(connection);
        connection->start();
        accept();
    });
}

std::vector<connection_load> async_http_server::loads() const
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<connection_load> result;
    result.reserve(m_connections.size());
    for (const auto &connection : m_connections) {
        result.push_back(connection->load(now));
    }
    return result;
}

bool async_http_server::makeRoom()
{
    removeClosed(m_connections);
    if (m_connections.size() < m_limits->connections) {
        return true;
    }
    const std::optional<std::size_t> evicted = connectionToEvict(loads());
    if (!evicted) {
        return false;
    }
    ++m_evictedCount;
    m_connections[*evicted]->abort();
    m_connections.erase(m_connections.begin() + static_cast<std::ptrdiff_t>(*evicted));
    return true;
}

void async_http_server::shedConnections()
{
    if (!m_memory || !m_memory->isNearlyShort()) {
        return;
    }
    for (const std::size_t shed : connectionsToShed(loads(), m_memory->limit(), m_memory->used())) {
        ++m_shedCount;
        m_connections[shed]->abort();
    }
}

void async_http_server::checkConnections()
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto &connection : m_connections) {
        connection->enforceTimeouts(now);
    }
    shedConnections();
    removeClosed(m_connections);
    m_checkTimer.expires_after(CHECK_INTERVAL);
    m_checkTimer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            checkConnections();
        }
    });
}

} // namespace snipefall
