#include "http/async_http_server.h"

#include <algorithm>

#include "http/endpoint_text.h"

namespace snipefall {

namespace {

/** Resolution of the time limits of connections. */
constexpr std::chrono::milliseconds SWEEP_INTERVAL(500);
/** Pause after a failed accept, for example because no descriptor is free. */
constexpr std::chrono::milliseconds ACCEPT_PAUSE(100);
/** A burst of new clients waits here instead of losing its first packets, which are sent again only after a second. */
constexpr int BACKLOG = 1024;

} // namespace

async_http_server::async_http_server(boost::asio::io_context &loop, handler handleRequest)
    : m_loop(loop)
    , m_handler(std::move(handleRequest))
    , m_acceptor(loop)
    , m_sweepTimer(loop)
    , m_acceptTimer(loop)
    , m_limits(std::make_shared<async_server_limits>())
{
}

std::optional<std::string> async_http_server::listen(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return "not an address: " + address;
    }
    boost::system::error_code error;
    m_acceptor.open(endpoint->protocol(), error);
    if (!error) {
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(*endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(BACKLOG, error);
    }
    if (error) {
        return "can't listen on " + address + ": " + error.message();
    }
    accept();
    sweep();
    return std::nullopt;
}

unsigned short async_http_server::port() const
{
    boost::system::error_code ignored; // An unbound server has port 0.
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
    m_closing = true;
    for (const auto &connection : m_connections) {
        connection->closeAfterResponse();
    }
}

void async_http_server::stopAccepting()
{
    boost::system::error_code ignored; // A listener that is closed already is what is wanted.
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
            m_acceptTimer.expires_after(ACCEPT_PAUSE);
            m_acceptTimer.async_wait([this](const boost::system::error_code &cancelled) {
                if (!cancelled) {
                    accept();
                }
            });
            return;
        }
        boost::system::error_code ignored; // Without the options the connection works, only slower.
        socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        socket.non_blocking(true, ignored);
        const auto connection = std::make_shared<server_connection>(std::move(socket), m_limits, m_handler);
        if (m_closing) {
            connection->closeAfterResponse();
        }
        m_connections.push_back(connection);
        connection->start();
        accept();
    });
}

void async_http_server::sweep()
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto &connection : m_connections) {
        connection->checkTime(now);
    }
    m_connections.erase(std::remove_if(m_connections.begin(), m_connections.end(), [](const auto &item) { return !item->isOpen(); }), m_connections.end());
    m_sweepTimer.expires_after(SWEEP_INTERVAL);
    m_sweepTimer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            sweep();
        }
    });
}

} // namespace snipefall
