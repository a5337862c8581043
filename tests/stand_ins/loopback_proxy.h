#pragma once

#include <list>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace snipefall {

/** Passes connections on to another address of this machine and spoils them as told. */
class loopback_proxy
{
public:
    enum class fault
    {
        none,
        delayed, ///< Bytes are kept back for a while.
        reset, ///< Connections are reset.
        silent, ///< Bytes of both directions vanish; connections stay open.
        one_way, ///< Bytes of the answering side vanish.
        refusing, ///< Connections are reset and no new one is accepted, as by a process that has crashed; it comes back at another address.
    };

    loopback_proxy(boost::asio::io_context &loop, std::string target);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy &) = delete;
    loopback_proxy &operator=(const loopback_proxy &) = delete;

    std::string address() const;
    /** Applies to open connections and to new ones. */
    void setFault(fault now);

private:
    class link;

    void accept();
    void stopListening();
    void listenAgain();

    boost::asio::io_context &m_loop;
    std::string m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::list<std::weak_ptr<link>> m_links;
    fault m_fault = fault::none;
};

} // namespace snipefall
