#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/async_server_limits.h"
#include "http/http_exchange.h"
#include "http/server_connection.h"

namespace snipefall {

/** An HTTP/1.1 server on one event loop. Not thread-safe: its functions are called on the loop's thread only. */
class async_http_server
{
public:
    using handler = server_connection::handler;

    async_http_server(boost::asio::io_context &loop, handler handleRequest);

    /** Binds "ip:port" and starts to accept connections. Returns the error message on failure, nothing on success. */
    std::optional<std::string> listen(const std::string &address);
    /** Sets the limits of open and future connections. */
    void setLimits(const async_server_limits &limits);
    /** From now on each connection is closed after its next response. */
    void closeAfterResponses();
    void stopAccepting();
    /** Closes the connections that have neither a request in progress nor unread bytes of one. */
    void closeIdle();

    std::size_t openConnections() const;
    /** The bound port; 0 before listen(). */
    unsigned short port() const;

private:
    void accept();
    void checkConnections();

    boost::asio::io_context &m_loop;
    handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_checkTimer;
    boost::asio::steady_timer m_acceptRetryTimer;
    std::shared_ptr<const async_server_limits> m_limits;
    std::vector<std::shared_ptr<server_connection>> m_connections;
    bool m_closeAfterResponses = false;
};

} // namespace snipefall
