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

/** One connection to a server; serves one call at a time. */
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    using steady_time = std::chrono::steady_clock::time_point;
    /** Gets the result of a call and whether the connection can serve another one. */
    using call_handler = std::function<void(client_result, bool reusable)>;

    client_connection(boost::asio::io_context &loop, boost::asio::ip::tcp::endpoint server, const async_client_options &options);

    void start(client_call call, call_handler handler);
    /** Closes the connection @p linger from now unless the response has come by then. The handler is called in both cases. */
    void limitTo(std::chrono::microseconds linger);
    void close();
    /** Watches the idle connection; @p onEnded is called when the server ends it or sends bytes that nobody asked for. */
    void watchIdle(std::function<void()> onEnded);
    /** False if the server has ended the idle connection or sent bytes on it, and that was not noticed yet. */
    bool isSilent();
    /** Until when an idle connection may be used again. */
    steady_time keepUntil() const { return m_keepUntil; }
    /** When the last call ended. */
    steady_time idleSince() const { return m_idleSince; }

private:
    void connect();
    void send();
    void waitForBytes();
    void readBytes();
    void parse();
    void ended(bool cleanly);
    void finish(client_result::kind outcome, bool reusable);
    void armTimer(steady_time at);
    void timerFired();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::ip::tcp::endpoint m_server;
    async_client_options m_options;
    client_call m_call;
    call_handler m_handler;
    client_result m_result;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    std::function<void()> m_idleEnded;
    steady_time m_keepUntil;
    steady_time m_idleSince;
    bool m_connected = false;
    bool m_waiting = false;
    bool m_writing = false;
    bool m_served = false; ///< A call was answered on this connection.
    bool m_closed = false;
};

} // namespace snipefall
