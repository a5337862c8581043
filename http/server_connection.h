#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "http/async_http_types.h"
#include "http/async_server_limits.h"

namespace snipefall {

class http_exchange;

/** One connection of a client. Requests are handled one after another; the client's leaving is noticed while its request runs. */
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;
    using steady_time = std::chrono::steady_clock::time_point;

    server_connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<const async_server_limits> limits, handler handleRequest);

    void start();
    void respond(http_response_message response);
    /** Takes effect for everything that begins after the call. */
    void setLimits(std::shared_ptr<const async_server_limits> limits) { m_limits = std::move(limits); }
    /** The next response tells the client to close. */
    void closeAfterResponse() { m_closing = true; }
    /** Closes the connection if it waits for a request of which nothing was read. */
    void closeIfIdle();
    /** Closes the connection if a time limit is over. */
    void checkTime(steady_time now);
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
    void readBytes();
    void parse();
    void handleRequest();
    void refuse(boost::beast::http::status status);
    void write();
    void written(const boost::system::error_code &error);
    void clientLeft();
    void close();

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<const async_server_limits> m_limits;
    handler m_handler;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    std::shared_ptr<http_exchange> m_exchange;
    std::string m_client; ///< Its IP address.
    http_response_message m_response;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::string_body>> m_serializer;
    state m_state = state::reading;
    steady_time m_lastProgress;
    bool m_waiting = false; ///< A wait for readable bytes is pending.
    bool m_headRequest = false;
    bool m_closing = false;
    bool m_open = true;
};

} // namespace snipefall
