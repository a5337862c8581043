#pragma once

#include <list>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace snipefall {

/** A TCP proxy on 127.0.0.1 that forwards connections to a target address and injects network faults into them. */
class loopback_proxy
{
public:
    enum class fault
    {
        none,
        delayed, ///< Bytes are forwarded after a fixed delay.
        reset, ///< Open and new connections are closed with a TCP reset.
        silent, ///< Bytes are dropped in both directions; connections stay open.
        dropping_answers, ///< Bytes from the target to the caller are dropped; connections stay open.
        repeating_answers, ///< The bytes that followed a request are sent once more when the next request arrives on the connection.
        refusing, ///< Connections are reset and the listener is closed, as after a process crash; clearing the fault opens a listener on another port.
    };

    loopback_proxy(boost::asio::io_context &loop, std::string target);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy &) = delete;
    loopback_proxy &operator=(const loopback_proxy &) = delete;

    std::string address() const;
    /** Sets the fault of open and new connections. */
    void setFault(fault newFault);

private:
    class proxied_connection;

    void accept();
    void stopListening();
    void resumeListening();

    boost::asio::io_context &m_loop;
    std::string m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::list<std::weak_ptr<proxied_connection>> m_connections;
    fault m_fault = fault::none;
};

} // namespace snipefall
