#include "http/client_connection.h"

#include <algorithm>
#include <cerrno>
#include <charconv>

#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace snipefall {

namespace beast = boost::beast;

namespace {

constexpr std::size_t READ_BYTES = 8192;
/** A silent peer is found after about three seconds, within the time that the platform allows for lost connections. */
constexpr int PROBE_IDLE_S = 1;
constexpr int PROBE_INTERVAL_S = 1;
constexpr int PROBE_COUNT = 2;

/** The time in a Keep-Alive header, "timeout=5, max=100". */
std::optional<std::chrono::seconds> keepAliveTime(beast::string_view header)
{
    const auto at = header.find("timeout=");
    if (at == beast::string_view::npos) {
        return std::nullopt;
    }
    const beast::string_view digits = header.substr(at + 8);
    unsigned seconds = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return parsed.ec == std::errc() ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
}

} // namespace

client_connection::client_connection(boost::asio::io_context &loop, boost::asio::ip::tcp::endpoint server, const async_client_options &options)
    : m_socket(loop)
    , m_timer(loop)
    , m_server(std::move(server))
    , m_options(options)
{
}

void client_connection::start(client_call call, call_handler handler)
{
    m_call = std::move(call);
    m_handler = std::move(handler);
    m_idleEnded = nullptr;
    m_result = client_result();
    m_result.reused = m_served;
    m_result.sentAt = std::chrono::steady_clock::now();
    m_parser.reset();
    if (m_connected) {
        armTimer(m_call.deadline);
        send();
        return;
    }
    connect();
}

void client_connection::connect()
{
    armTimer(std::min(m_call.deadline, std::chrono::steady_clock::now() + m_options.connectTimeout));
    m_socket.async_connect(m_server, [self = shared_from_this()](const boost::system::error_code &error) {
        if (self->m_closed) {
            return;
        }
        if (error) {
            self->finish(client_result::kind::not_sent, false);
            return;
        }
        self->m_connected = true;
        boost::system::error_code ignored; // Without the options the connection works, only slower.
        self->m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        self->m_socket.non_blocking(true, ignored);
        if (self->m_options.probeSilentConnections) {
            const int handle = self->m_socket.native_handle();
            const int on = 1;
            setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
            setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &PROBE_IDLE_S, sizeof(PROBE_IDLE_S));
            setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &PROBE_INTERVAL_S, sizeof(PROBE_INTERVAL_S));
            setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &PROBE_COUNT, sizeof(PROBE_COUNT));
        }
        self->armTimer(self->m_call.deadline);
        self->send();
    });
}

void client_connection::send()
{
    m_writing = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_call.bytes), [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        self->m_writing = false;
        // A failed write is reported by the read, which may still find a response that was sent before the end.
        if (error && !self->m_closed && self->m_handler && !self->m_waiting) {
            self->finish(client_result::kind::lost, false);
        }
    });
    waitForBytes();
}

void client_connection::waitForBytes()
{
    if (m_waiting || m_closed) {
        return;
    }
    m_waiting = true;
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
        self->m_waiting = false;
        if (self->m_closed) {
            return;
        }
        if (error) {
            self->ended(false);
            return;
        }
        self->readBytes();
    });
}

void client_connection::readBytes()
{
    boost::system::error_code error;
    const std::size_t count = m_socket.read_some(m_buffer.prepare(READ_BYTES), error);
    if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
        waitForBytes();
        return;
    }
    if (error) {
        ended(error == boost::asio::error::eof);
        return;
    }
    m_buffer.commit(count);
    if (!m_handler) {
        ended(false); // Bytes on an idle connection belong to no request.
        return;
    }
    parse();
    if (!m_closed) {
        waitForBytes();
    }
}

void client_connection::parse()
{
    while (m_handler && m_buffer.size() > 0) {
        if (!m_parser) {
            m_parser.emplace();
            m_parser->eager(true);
            m_parser->body_limit(m_options.maxResponseBytes);
            m_parser->skip(m_call.headRequest);
        }
        boost::system::error_code error;
        const std::size_t used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
        if (error && error != beast::http::error::need_more) {
            finish(client_result::kind::malformed, false);
            return;
        }
        if (m_parser->is_done()) {
            http_response_message response = m_parser->release();
            m_parser.reset();
            if (m_call.belongs && !m_call.belongs(response)) {
                continue; // The late response to an earlier request; the one to this request may follow.
            }
            m_result.response = std::move(response);
            // A server may answer before it has read the whole request; the rest of it must not meet the next one.
            const bool reusable = m_result.response.keep_alive() && m_buffer.size() == 0 && !m_writing;
            finish(client_result::kind::answered, reusable);
            return;
        }
        if (used == 0) {
            return;
        }
    }
}

void client_connection::ended(bool cleanly)
{
    if (!m_handler) {
        const std::function<void()> idleEnded = std::move(m_idleEnded);
        close();
        if (idleEnded) {
            idleEnded();
        }
        return;
    }
    if (cleanly && m_parser && m_parser->is_header_done() && m_parser->need_eof()) {
        boost::system::error_code error;
        m_parser->put_eof(error);
        if (!error && m_parser->is_done() && (!m_call.belongs || m_call.belongs(m_parser->get()))) {
            m_result.response = m_parser->release();
            finish(client_result::kind::answered, false);
            return;
        }
    }
    finish(client_result::kind::lost, false);
}

void client_connection::finish(client_result::kind outcome, bool reusable)
{
    m_timer.cancel();
    m_result.outcome = outcome;
    const call_handler handler = std::move(m_handler);
    m_handler = nullptr;
    if (outcome == client_result::kind::answered) {
        m_served = true;
        const auto stated = keepAliveTime(m_result.response[beast::http::field::keep_alive]);
        const std::chrono::milliseconds kept = stated ? std::chrono::milliseconds(*stated) : m_options.defaultKeepTime;
        m_idleSince = std::chrono::steady_clock::now();
        m_keepUntil = m_idleSince + kept - m_options.keepMargin;
    }
    if (!reusable) {
        close();
    }
    if (handler) {
        handler(std::move(m_result), reusable);
    }
}

void client_connection::watchIdle(std::function<void()> onEnded)
{
    m_idleEnded = std::move(onEnded);
    waitForBytes();
}

bool client_connection::isSilent()
{
    char byte = 0;
    const ssize_t count = ::recv(m_socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void client_connection::limitTo(std::chrono::microseconds linger)
{
    // The limit also holds for what follows after the connection is set up.
    m_call.deadline = std::min(m_call.deadline, std::chrono::steady_clock::now() + linger);
    armTimer(std::min(m_call.deadline, m_timer.expiry()));
}

void client_connection::armTimer(steady_time at)
{
    m_timer.expires_at(at);
    m_timer.async_wait([self = shared_from_this(), at](const boost::system::error_code &cancelled) {
        // A timer that was set anew may have its earlier completion in the queue already.
        if (!cancelled && self->m_timer.expiry() == at) {
            self->timerFired();
        }
    });
}

void client_connection::timerFired()
{
    if (m_closed || !m_handler) {
        return;
    }
    finish(m_connected ? client_result::kind::timed_out : client_result::kind::not_sent, false);
}

void client_connection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_handler = nullptr;
    m_timer.cancel();
    boost::system::error_code ignored; // The connection is given up whatever the system answers.
    m_socket.close(ignored);
}

} // namespace snipefall
