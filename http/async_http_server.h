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

class memory_account;

/** An HTTP/1.1 server on one event loop. Not thread-safe: its functions are called on the loop's thread only. */
class async_http_server
{
public:
    using handler = server_connection::handler;

    async_http_server(boost::asio::io_context &loop, handler handleRequest);

    /** Binds "ip:port" and starts to accept connections. Returns the error message on failure, nothing on success. */
    std::optional<std::string> listen(const std::string &address);
    /** Sets the account that future connections charge; it is set before listen(). */
    void setMemory(std::shared_ptr<memory_account> memory) { m_memory = std::move(memory); }
    /** Closes connections so that the account is no longer short, if possible; see connectionsToShed(). */
    void shedConnections();
    /** Sets the limits of open and future connections. */
    void setLimits(const async_server_limits &limits);
    /** From now on each connection is closed after its next response. */
    void closeAfterResponses();
    void stopAccepting();
    /** Closes the connections that have neither a request in progress nor unread bytes of one. */
    void closeIdle();

    std::size_t openConnections() const;
    /** Number of connections that were closed for want of memory so far. */
    std::uint64_t shedCount() const { return m_shedCount; }
    /** Number of connections that were closed, or not accepted, because there were too many. */
    std::uint64_t evictedCount() const { return m_evictedCount; }
    /** The bound port; 0 before listen(). */
    unsigned short port() const;

private:
    void accept();
    /** Makes room for one more connection; false if that isn't possible. */
    bool makeRoom();
    std::vector<connection_load> loads() const;
    void checkConnections();

    boost::asio::io_context &m_loop;
    handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_checkTimer;
    boost::asio::steady_timer m_acceptRetryTimer;
    std::shared_ptr<const async_server_limits> m_limits;
    std::vector<std::shared_ptr<server_connection>> m_connections;
    std::shared_ptr<memory_account> m_memory;
    std::uint64_t m_shedCount = 0;
    std::uint64_t m_evictedCount = 0;
    bool m_closeAfterResponses = false;
};

} // namespace snipefall
