#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "http/async_client_options.h"
#include "http/client_call.h"

namespace snipefall {

/** One client connection to a server; carries one call at a time. */
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    using steady_time = std::chrono::steady_clock::time_point;
    /** Receives the result of a call and whether the connection can be reused for another one. */
    using call_handler = std::function<void(client_result, bool reusable)>;

    client_connection(boost::asio::io_context &loop, connection_id id, boost::asio::ip::tcp::endpoint server, const async_client_options &options);

    connection_id id() const { return m_id; }

    /** Starts a call and connects first if needed. The handler is called once, unless close() is called before. */
    void start(client_call call, call_handler handler);
    /** Moves the deadline of the running call to @p remaining from now if that is earlier. At the deadline the handler gets a failure. */
    void shortenDeadline(std::chrono::microseconds remaining);
    /** Drops the body of the running call's response. The call ends with the header if much of the body is still to come, and otherwise with the body. */
    void discardBody();
    /** Closes the connection and drops the handler of a running call without calling it. */
    void close();
    /** Monitors the idle connection; @p onClosed is called when the server closes it or sends unexpected bytes. */
    void monitorIdle(std::function<void()> onClosed);
    /** False if the socket of the idle connection has an unread end of stream, error or bytes, which make it unusable for a request. */
    bool hasNoUnreadInput();
    /** Time until which the idle connection may be reused. */
    steady_time reusableUntil() const { return m_reusableUntil; }
    /** When the last answered call completed. */
    steady_time idleSince() const { return m_idleSince; }

private:
    void connect();
    void send();
    void waitForBytes();
    /** Waits until the process has memory for more bytes of the response. */
    void waitForMemory();
    void readBytes();
    void parse();
    /** Whether a response with this status may follow: the final one, or a limited number of interim ones. */
    bool acceptsStatus(unsigned status) const;
    /** Compares a response with the running call. */
    response_match matchResponse(const http_response_message &response) const;
    /** Whether the response is one without an identification although the server has identified earlier ones, so that it may belong to any call. */
    bool isDubious(const http_response_message &response, response_match match) const;
    /** Whether the response to the running call has begun and much of its body, or an unknown number of bytes, is still to come. */
    bool hasLongRest() const;
    void handleDisconnect(bool atEndOfStream);
    void finish(client_result::kind outcome, bool reusable);
    void armTimer(steady_time at);
    void timerFired();

    connection_id m_id;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_memoryTimer;
    boost::asio::ip::tcp::endpoint m_server;
    async_client_options m_options;
    client_call m_call;
    call_handler m_handler;
    client_result m_result;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    std::function<void()> m_onIdleClosed;
    steady_time m_reusableUntil;
    steady_time m_idleSince;
    unsigned m_interimResponses = 0; ///< Interim responses to the running call.
    unsigned m_lateResponses = 0; ///< Responses to earlier requests that came during the running call.
    bool m_connected = false;
    bool m_readWaitPending = false; ///< A wait for readable bytes is pending.
    bool m_waitingForMemory = false;
    bool m_discardsBody = false;
    bool m_writing = false;
    bool m_hasServedCall = false; ///< A call was answered on this connection before.
    bool m_hasIdentifiedResponse = false; ///< The server has sent a response that names its call.
    bool m_closed = false;
};

} // namespace snipefall
