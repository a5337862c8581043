#include "tests/stand_ins/loopback_proxy.h"

#include <array>
#include <functional>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "http/endpoint_text.h"

namespace snipefall {

using boost::asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds FORWARDING_DELAY(150);

} // namespace

/** One proxied connection: the socket of the caller, the socket to the target, and the fault that applies to both. */
class loopback_proxy::proxied_connection : public std::enable_shared_from_this<proxied_connection>
{
public:
    proxied_connection(const loopback_proxy &owner, tcp::socket caller)
        : m_fault(owner.m_fault)
        , m_caller(std::move(caller))
        , m_server(owner.m_loop)
        , m_timer(owner.m_loop)
    {
    }

    void start(const tcp::endpoint &server)
    {
        m_server.async_connect(server, [self = shared_from_this()](const boost::system::error_code &error) {
            if (error) {
                self->close();
                return;
            }
            self->pump(self->m_caller, self->m_server, self->m_toServer, false);
            self->pump(self->m_server, self->m_caller, self->m_toCaller, true);
        });
    }

    void setFault(fault newFault)
    {
        m_fault = newFault;
        if (newFault == fault::reset || newFault == fault::refusing) {
            boost::system::error_code ignored; // The calls fail only if the connection is closed already.
            m_caller.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            m_server.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            close();
        }
    }

    void close()
    {
        boost::system::error_code ignored; // The calls fail only if the connection is closed already.
        m_caller.close(ignored);
        m_server.close(ignored);
        m_timer.cancel();
    }

private:
    using buffer = std::array<char, 8192>;

    void pump(tcp::socket &from, tcp::socket &to, buffer &bytes, bool towardsCaller)
    {
        from.async_read_some(
            boost::asio::buffer(bytes), [=, this, self = shared_from_this(), &from, &to, &bytes](const boost::system::error_code &error, std::size_t count) {
                if (error) {
                    // A silent connection drops the end of stream too, so the other side does not see the connection close.
                    if (m_fault != fault::silent) {
                        close();
                    }
                    return;
                }
                if (m_fault == fault::silent || (m_fault == fault::dropping_answers && towardsCaller)) {
                    pump(from, to, bytes, towardsCaller);
                    return;
                }
                const auto forward = [=, this, self = self, &from, &to, &bytes] {
                    if (m_fault == fault::repeating_answers && towardsCaller) {
                        m_lastAnswer.append(bytes.data(), count);
                    }
                    boost::asio::async_write(to,
                                             boost::asio::buffer(bytes, count),
                                             [=, this, self = self, &from, &to, &bytes](const boost::system::error_code &writeError, std::size_t) {
                                                 if (writeError) {
                                                     close();
                                                     return;
                                                 }
                                                 pump(from, to, bytes, towardsCaller);
                                             });
                };
                if (!towardsCaller && !m_lastAnswer.empty()) {
                    const auto repeated = std::make_shared<std::string>(std::exchange(m_lastAnswer, {}));
                    boost::asio::async_write(
                        m_caller, boost::asio::buffer(*repeated), [forward, repeated](const boost::system::error_code &, std::size_t) { forward(); });
                    return;
                }
                if (m_fault != fault::delayed) {
                    forward();
                    return;
                }
                const auto timer = std::make_shared<boost::asio::steady_timer>(from.get_executor(), FORWARDING_DELAY);
                timer->async_wait([forward, timer](const boost::system::error_code &) { forward(); });
            });
    }

    fault m_fault;
    tcp::socket m_caller;
    tcp::socket m_server;
    boost::asio::steady_timer m_timer;
    buffer m_toServer{};
    buffer m_toCaller{};
    std::string m_lastAnswer; ///< With repeating_answers, what the target has sent since the last request.
};

loopback_proxy::loopback_proxy(boost::asio::io_context &loop, std::string target)
    : m_loop(loop)
    , m_target(std::move(target))
    , m_acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , m_endpoint(m_acceptor.local_endpoint())
{
    accept();
}

loopback_proxy::~loopback_proxy()
{
    for (const auto &connection : m_connections) {
        if (const auto open = connection.lock()) {
            open->close();
        }
    }
}

std::string loopback_proxy::address() const
{
    return "127.0.0.1:" + std::to_string(m_endpoint.port());
}

void loopback_proxy::stopListening()
{
    boost::system::error_code ignored; // Closing fails only if the listener is closed already.
    m_acceptor.close(ignored);
}

void loopback_proxy::resumeListening()
{
    m_acceptor = tcp::acceptor(m_loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    m_endpoint = m_acceptor.local_endpoint();
    accept();
}

void loopback_proxy::setFault(fault newFault)
{
    const fault oldFault = m_fault;
    m_fault = newFault;
    m_connections.remove_if([](const auto &connection) { return connection.expired(); });
    for (const auto &connection : m_connections) {
        if (const auto open = connection.lock()) {
            open->setFault(newFault);
        }
    }
    if (newFault == fault::refusing && oldFault != fault::refusing) {
        stopListening();
    }
    if (newFault != fault::refusing && oldFault == fault::refusing) {
        resumeListening();
    }
}

void loopback_proxy::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || m_fault == fault::refusing) {
            return;
        }
        if (!error) {
            const auto opened = std::make_shared<proxied_connection>(*this, std::move(socket));
            if (m_fault == fault::reset) {
                opened->setFault(fault::reset);
            } else if (const auto server = parseEndpoint(m_target)) {
                m_connections.push_back(opened);
                opened->start(*server);
            }
        }
        accept();
    });
}

} // namespace snipefall
