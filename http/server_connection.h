#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "http/async_http_types.h"
#include "http/async_server_limits.h"
#include "http/memory_charge.h"
#include "policy/connections/connection_load.h"

namespace snipefall {

class http_exchange;

/** One connection of an async_http_server. Its requests are handled one at a time; a disconnect of the client is also detected while a request is handled. */
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;
    using steady_time = std::chrono::steady_clock::time_point;

    /** @p memory is charged for what the connection holds; null if nothing is. */
    server_connection(boost::asio::ip::tcp::socket socket,
                      std::shared_ptr<const async_server_limits> limits,
                      std::shared_ptr<memory_account> memory,
                      handler handleRequest);

    void start();
    /** Sends the response to the request in progress; has no effect if there is none. */
    void respond(http_response_message response);
    /** Sets the timeouts, effective immediately, and the size limits of requests that begin after the call. */
    void setLimits(std::shared_ptr<const async_server_limits> limits) { m_limits = std::move(limits); }
    /** Sends "Connection: close" with the next response and closes the connection after it. */
    void closeAfterResponse() { m_closeAfterResponse = true; }
    /** Closes the connection if no request is in progress and no byte of the next one was read. */
    void closeIfIdle();
    /** Closes the connection, or rejects an incomplete request with status 408, if its timeout has passed at @p now. */
    void enforceTimeouts(steady_time now);
    /** Closes the connection at once, whatever it is doing. */
    void abort() { close(); }
    connection_load load(steady_time now) const;
    bool isOpen() const { return m_open; }
    bool isBusy() const { return m_state == state::handling || m_state == state::writing; }

private:
    enum class state
    {
        reading,
        handling,
        writing,
    };

    void waitForBytes();
    /** Waits until the process has memory for more bytes of the request. */
    void waitForMemory();
    void readBytes();
    void noteTransfer(std::size_t bytes);
    void parse();
    void chargeMemory();
    bool isIdle() const { return m_state == state::reading && !m_parser && m_buffer.size() == 0; }
    void handleRequest();
    void reject(boost::beast::http::status status);
    void write();
    void writeSome();
    void handleWritten(const boost::system::error_code &error);
    void dropResponse();
    void handleClientDisconnect();
    void close();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_memoryTimer;
    std::shared_ptr<const async_server_limits> m_limits;
    std::shared_ptr<memory_account> m_account;
    handler m_handler;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    std::shared_ptr<http_exchange> m_exchange;
    std::string m_clientAddress; ///< IP address of the client; empty if unknown.
    http_response_message m_response;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::string_body>> m_serializer;
    state m_state = state::reading;
    memory_charge m_memory;
    steady_time m_lastProgress; ///< Of the request or response as a whole; its meaning depends on the state.
    steady_time m_lastTransfer; ///< When the client last sent or took a fair number of bytes.
    std::size_t m_bytesSinceTransfer = 0; ///< Bytes moved since then.
    steady_time m_requestBegan;
    bool m_readWaitPending = false; ///< A wait for readable bytes is pending.
    bool m_waitingForMemory = false;
    bool m_headRequest = false;
    bool m_closeAfterResponse = false;
    bool m_open = true;
};

} // namespace snipefall
