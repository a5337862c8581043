#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/async_client_options.h"
#include "http/client_call.h"

namespace snipefall {

class client_connection;

/**
 * An HTTP/1.1 client on one event loop with a pool of keep-alive connections per server address.
 *
 * Sends each request at most once; the caller decides whether to retry a failed call. Not thread-safe: its functions are called on the loop's thread only.
 */
class async_http_client
{
public:
    using call_id = std::uint64_t;
    using handler = std::function<void(client_result)>;

    async_http_client(boost::asio::io_context &loop, const async_client_options &options);
    ~async_http_client();
    async_http_client(const async_http_client &) = delete;
    async_http_client &operator=(const async_http_client &) = delete;

    /**
     * Starts a call. @p done is called exactly once, never from within start(); a malformed address and all transport errors are reported through it.
     */
    call_id start(client_call call, handler done);
    /** Moves the deadline of a call to @p remaining from now if that is earlier. The connection stays in the pool if the response arrives in time. */
    void shortenDeadline(call_id id, std::chrono::microseconds remaining);

    /** Drops the body of the call's response, which then takes no memory. The call goes on until its response has begun, and ends with an empty body. */
    void discardBody(call_id id);

    /** Number of connections to an address, idle or in use. */
    std::size_t connectionsTo(const std::string &address) const;
    /** Closes the idle connections to an address; for servers that were removed or whose connections may be dead without a reset. */
    void closeIdle(const std::string &address);
    /** Number of connections created since the start of the client. */
    std::uint64_t connectionsOpened() const { return m_connectionsOpened; }
    /** When a server last answered a call; the epoch of the clock if none has. */
    std::chrono::steady_clock::time_point lastAnswerAt() const { return m_lastAnswerAt; }

private:
    struct address_pool
    {
        std::vector<std::shared_ptr<client_connection>> idle; ///< In order of last use, the most recently used one at the back.
        std::size_t inUse = 0;
    };

    /** Takes the most recently used connection from the pool of the call's address that can carry the call; null if there is none. */
    std::shared_ptr<client_connection> takeIdle(const client_call &call);
    void releaseConnection(call_id id, const std::string &address, const std::shared_ptr<client_connection> &connection, bool reusable);
    void sweep();

    boost::asio::io_context &m_loop;
    async_client_options m_options;
    boost::asio::steady_timer m_sweepTimer;
    std::unordered_map<std::string, address_pool> m_pools;
    std::unordered_map<call_id, std::shared_ptr<client_connection>> m_calls;
    call_id m_lastCallId = 0;
    std::uint64_t m_connectionsOpened = 0;
    std::chrono::steady_clock::time_point m_lastAnswerAt;
};

} // namespace snipefall
