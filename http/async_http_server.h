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

/** An HTTP/1.1 server on one event loop. Not thread-safe: all calls are made on the loop's thread. */
class async_http_server
{
public:
    using handler = server_connection::handler;

    async_http_server(boost::asio::io_context &loop, handler handleRequest);

    /** Binds "ip:port" and accepts connections; returns why that failed, or nothing. */
    std::optional<std::string> listen(const std::string &address);
    /** Applies to open connections, too. */
    void setLimits(const async_server_limits &limits);
    /** From now on each response ends its connection. */
    void closeAfterResponses();
    void stopAccepting();
    /** Closes the connections on which no request has begun. */
    void closeIdle();

    std::size_t openConnections() const;
    /** The port that was bound. */
    unsigned short port() const;

private:
    void accept();
    void sweep();

    boost::asio::io_context &m_loop;
    handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_sweepTimer;
    boost::asio::steady_timer m_acceptTimer;
    std::shared_ptr<const async_server_limits> m_limits;
    std::vector<std::shared_ptr<server_connection>> m_connections;
    bool m_closing = false;
};

} // namespace snipefall
