#include "http/client_connection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>

#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "http/final_status.h"
#include "http/memory_charge.h"
#include "http/message_parsing.h"
#include "http/receive_buffer.h"
#include "policy/connections/growth_turns.h"

namespace snipefall {

namespace beast = boost::beast;

namespace {

constexpr std::size_t READ_BYTES = 8192;
/** TCP keep-alive settings. A dead peer is detected after about three seconds, within the time that the platform allows for lost connections. */
constexpr int KEEPALIVE_IDLE_S = 1;
constexpr int KEEPALIVE_INTERVAL_S = 1;
constexpr int KEEPALIVE_PROBES = 2;
/** More interim responses to one request are taken for a failure of the server, which could send them without an end. */
constexpr unsigned MAX_INTERIM_RESPONSES = 16;
/** The same holds for responses to earlier requests; a connection carries one request at a time, so that more than a few belong to none. */
constexpr unsigned MAX_LATE_RESPONSES = 16;
/** A longer rest of a response that nobody waits for is not read; a new connection costs less. */
constexpr std::size_t MAX_DISCARDED_BYTES = 65536;

/** The timeout in a Keep-Alive header such as "timeout=5, max=100", or nothing if it has none. */
std::optional<std::chrono::seconds> keepAliveTimeout(beast::string_view header)
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

client_connection::client_connection(boost::asio::io_context &loop,
                                     connection_id id,
                                     boost::asio::ip::tcp::endpoint server,
                                     const async_client_options &options)
    : m_id(id)
    , m_socket(loop)
    , m_timer(loop)
    , m_memoryTimer(loop)
    , m_server(std::move(server))
    , m_options(options)
{
}

void client_connection::start(client_call call, call_handler handler)
{
    m_call = std::move(call);
    m_handler = std::move(handler);
    m_onIdleClosed = nullptr;
    m_result = client_result();
    m_result.connection = m_id;
    m_result.reused = m_hasServedCall;
    m_result.sentAt = std::chrono::steady_clock::now();
    m_result.memory = std::make_shared<memory_charge>(m_options.memory);
    m_result.memory->set(m_call.bytes.size());
    m_parser.reset();
    m_interimResponses = 0;
    m_lateResponses = 0;
    m_discardsBody = false;
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
    boost::system::error_code failed; // The connect reports a socket that can't be opened.
    m_socket.open(m_server.protocol(), failed);
    m_socket.set_option(boost::asio::socket_base::receive_buffer_size(RECEIVE_BUFFER_BYTES), failed);
    m_socket.async_connect(m_server, [self = shared_from_this()](const boost::system::error_code &error) {
        if (self->m_closed) {
            return;
        }
        if (error) {
            self->finish(client_result::kind::not_sent, false);
            return;
        }
        self->m_connected = true;
        boost::system::error_code ignored; // Errors are ignored: without these options the connection is only slower.
        self->m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        self->m_socket.non_blocking(true, ignored);
        if (self->m_options.enableTcpKeepAlive) {
            const int handle = self->m_socket.native_handle();
            const int on = 1;
            setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
            setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &KEEPALIVE_IDLE_S, sizeof(KEEPALIVE_IDLE_S));
            setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &KEEPALIVE_INTERVAL_S, sizeof(KEEPALIVE_INTERVAL_S));
            setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &KEEPALIVE_PROBES, sizeof(KEEPALIVE_PROBES));
        }
        self->armTimer(self->m_call.deadline);
        self->send();
    });
}

void client_connection::send()
{
    m_writing = true;
    const std::array<boost::asio::const_buffer, 2> request{boost::asio::buffer(m_call.bytes),
                                                           m_call.body ? boost::asio::buffer(*m_call.body) : boost::asio::const_buffer()};
    boost::asio::async_write(m_socket, request, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        self->m_writing = false;
        // While a read wait is pending, a failed write is left to it: the server may have sent a response before it closed the connection.
        if (error && !self->m_closed && self->m_handler && !self->m_readWaitPending && !self->m_waitingForMemory) {
            self->finish(client_result::kind::lost, false);
        }
    });
    waitForBytes();
}

void client_connection::waitForBytes()
{
    if (m_readWaitPending || m_closed) {
        return;
    }
    m_readWaitPending = true;
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
        self->m_readWaitPending = false;
        if (self->m_closed) {
            return;
        }
        if (error) {
            self->handleDisconnect(false);
            return;
        }
        self->readBytes();
    });
}

void client_connection::waitForMemory()
{
    m_waitingForMemory = true;
    m_memoryTimer.expires_after(m_result.memory->retryDelay());
    m_memoryTimer.async_wait([self = shared_from_this()](const boost::system::error_code &cancelled) {
        self->m_waitingForMemory = false;
        if (!cancelled && !self->m_closed) {
            self->waitForBytes();
        }
    });
}

void client_connection::readBytes()
{
    if (m_handler && !m_discardsBody && !m_result.memory->mayGrow(restOfBody(m_parser))) {
        waitForMemory();
        return;
    }
    boost::system::error_code error;
    const std::size_t count = m_socket.read_some(m_buffer.prepare(READ_BYTES), error);
    if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
        waitForBytes();
        return;
    }
    if (error) {
        handleDisconnect(error == boost::asio::error::eof);
        return;
    }
    m_buffer.commit(count);
    if (!m_handler) {
        handleDisconnect(false); // Bytes on an idle connection match no request.
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
        const std::size_t used = putBytes(*m_parser, m_buffer.data(), error);
        m_buffer.consume(used);
        if (error && error != beast::http::error::need_more) {
            finish(client_result::kind::malformed, false);
            return;
        }
        if (m_discardsBody) {
            std::string().swap(m_parser->get().body());
            if (hasLongRest()) {
                m_result.response = m_parser->release();
                finish(client_result::kind::answered, false);
                return;
            }
        }
        m_result.memory->set(m_call.bytes.size() + m_buffer.capacity() + m_parser->get().body().size());
        const bool hasOversizedTrailer = m_parser->is_header_done() && !m_parser->is_done() && m_buffer.size() > m_options.maxTrailerBytes;
        if (hasOversizedTrailer || (m_parser->is_header_done() && !acceptsStatus(m_parser->get().result_int()))) {
            finish(client_result::kind::malformed, false);
            return;
        }
        if (m_parser->is_done()) {
            http_response_message response = m_parser->release();
            m_parser.reset();
            if (isInterimStatus(response.result_int())) {
                ++m_interimResponses;
                continue;
            }
            const response_match match = matchResponse(response);
            if (match == response_match::other_call) {
                // This is a late response to an earlier request; the response to the current one may follow.
                if (++m_lateResponses > MAX_LATE_RESPONSES) {
                    finish(client_result::kind::malformed, false);
                    return;
                }
                continue;
            }
            if (isDubious(response, match)) {
                finish(client_result::kind::malformed, false);
                return;
            }
            m_hasIdentifiedResponse = m_hasIdentifiedResponse || (m_call.matchResponse && match == response_match::this_call);
            m_result.response = std::move(response);
            // A server may respond before it has read the whole request. The connection isn't reused then, because the next request would follow the unsent
            // rest.
            const bool reusable = m_result.response.keep_alive() && m_buffer.size() == 0 && !m_writing;
            finish(client_result::kind::answered, reusable);
            return;
        }
        if (used == 0) {
            return;
        }
    }
}

bool client_connection::hasLongRest() const
{
    if (!m_parser->is_header_done() || m_parser->is_done() || !isFinalStatus(m_parser->get().result_int())) {
        return false;
    }
    const bool isLong = restOfBody(m_parser).value_or(growth_turns::UNKNOWN_BYTES) > MAX_DISCARDED_BYTES;
    return isLong && matchResponse(m_parser->get()) != response_match::other_call;
}

response_match client_connection::matchResponse(const http_response_message &response) const
{
    return m_call.matchResponse ? m_call.matchResponse(response) : response_match::this_call;
}

bool client_connection::isDubious(const http_response_message &response, response_match match) const
{
    return match == response_match::unidentified && m_hasIdentifiedResponse && !isErrorStatus(response.result_int());
}

void client_connection::discardBody()
{
    m_discardsBody = true;
    if (!m_handler) {
        return;
    }
    m_result.memory->stopGrowing();
    if (m_parser) {
        std::string().swap(m_parser->get().body());
        m_result.memory->set(m_call.bytes.size() + m_buffer.capacity());
    }
}

bool client_connection::acceptsStatus(unsigned status) const
{
    return isFinalStatus(status) || (isInterimStatus(status) && m_interimResponses < MAX_INTERIM_RESPONSES);
}

void client_connection::handleDisconnect(bool atEndOfStream)
{
    if (!m_handler) {
        const std::function<void()> onIdleClosed = std::move(m_onIdleClosed);
        close();
        if (onIdleClosed) {
            onIdleClosed();
        }
        return;
    }
    if (atEndOfStream && m_parser && m_parser->is_header_done() && m_parser->need_eof()) {
        boost::system::error_code error;
        m_parser->put_eof(error);
        const bool isComplete = !error && m_parser->is_done();
        const response_match match = isComplete ? matchResponse(m_parser->get()) : response_match::other_call;
        if (match != response_match::other_call && !isDubious(m_parser->get(), match)) {
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
    m_result.memory->set(m_result.response.body().size());
    m_result.memory->stopGrowing();
    m_parser.reset();
    if (m_buffer.size() == 0) {
        m_buffer.shrink_to_fit();
    }
    if (!m_writing) {
        std::string().swap(m_call.bytes); // An assignment would keep the memory.
        m_call.body.reset();
    }
    if (outcome == client_result::kind::answered) {
        m_hasServedCall = true;
        const auto serverTimeout = keepAliveTimeout(m_result.response[beast::http::field::keep_alive]);
        const std::chrono::milliseconds idleTimeout = serverTimeout ? std::chrono::milliseconds(*serverTimeout) : m_options.defaultIdleTimeout;
        m_idleSince = std::chrono::steady_clock::now();
        m_reusableUntil = m_idleSince + idleTimeout - m_options.idleTimeoutMargin;
    }
    if (!reusable) {
        close();
    }
    if (handler) {
        handler(std::move(m_result), reusable);
    }
}

void client_connection::monitorIdle(std::function<void()> onClosed)
{
    m_onIdleClosed = std::move(onClosed);
    waitForBytes();
}

bool client_connection::hasNoUnreadInput()
{
    char byte = 0;
    const ssize_t count = ::recv(m_socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void client_connection::shortenDeadline(std::chrono::microseconds remaining)
{
    // The connect handler arms the timer with the call's deadline, so the deadline itself is shortened as well.
    m_call.deadline = std::min(m_call.deadline, std::chrono::steady_clock::now() + remaining);
    armTimer(std::min(m_call.deadline, m_timer.expiry()));
}

void client_connection::armTimer(steady_time at)
{
    m_timer.expires_at(at);
    m_timer.async_wait([self = shared_from_this(), at](const boost::system::error_code &cancelled) {
        // When the timer is set again, the completion of its previous expiry may already be queued; it is ignored.
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
    m_memoryTimer.cancel();
    boost::system::error_code ignored; // The connection is discarded even if closing the socket fails.
    m_socket.close(ignored);
}

} // namespace snipefall
