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
 * An HTTP/1.1 client on one event loop that keeps connections for later calls.
 *
 * Each call is sent at most once; what a failure means is left to the caller. Not thread-safe: all calls are made on the loop's thread.
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

    /** Starts a call; the handler is called once, never from within start(). */
    call_id start(client_call call, handler done);
    /** Ends a call at the latest @p linger from now. Its connection is kept if the response comes before that. */
    void limitTo(call_id id, std::chrono::microseconds linger);

    /** Connections to an address, idle or in use. */
    std::size_t connectionsTo(const std::string &address) const;
    /** Closes the idle connections to an address; for servers that are gone or whose connections may have gone silent. */
    void closeIdle(const std::string &address);
    std::uint64_t connectionsOpened() const { return m_opened; }

private:
    struct address_pool
    {
        std::vector<std::shared_ptr<client_connection>> idle; ///< Last used last.
        std::size_t inUse = 0;
    };

    std::shared_ptr<client_connection> takeIdle(const std::string &address);
    void ended(call_id id, const std::string &address, const std::shared_ptr<client_connection> &connection, bool reusable);
    void sweep();

    boost::asio::io_context &m_loop;
    async_client_options m_options;
    boost::asio::steady_timer m_sweepTimer;
    std::unordered_map<std::string, address_pool> m_pools;
    std::unordered_map<call_id, std::shared_ptr<client_connection>> m_calls;
    call_id m_lastCall = 0;
    std::uint64_t m_opened = 0;
};

} // namespace snipefall
