#include "http/server_connection.h"

#include <algorithm>

#include <boost/asio/buffer.hpp>

#include "http/http_exchange.h"
#include "http/message_parsing.h"
#include "http/receive_buffer.h"

namespace snipefall {

namespace beast = boost::beast;

namespace {

constexpr std::size_t READ_BYTES = 8192;
/** Limit of the bytes of pipelined requests that are buffered while a request is handled; further ones stay in the socket's receive buffer. */
constexpr std::size_t MAX_READ_AHEAD_BYTES = 16384;
/** A client that moves fewer bytes than this in a second counts as stalled. */
constexpr std::size_t FAIR_TRANSFER_BYTES = 4096;

/** Memory for a header field besides its bytes, by which many short fields exceed the size of the header. */
constexpr std::size_t FIELD_BYTES = 96;

std::size_t fieldCount(const http_request_message &request)
{
    return static_cast<std::size_t>(std::distance(request.begin(), request.end()));
}

std::size_t bytesOf(const http_request_message &request)
{
    return FIELD_BYTES * fieldCount(request) + request.body().size();
}

} // namespace

server_connection::server_connection(boost::asio::ip::tcp::socket socket,
                                     std::shared_ptr<const async_server_limits> limits,
                                     std::shared_ptr<memory_account> memory,
                                     handler handleRequest)
    : m_socket(std::move(socket))
    , m_memoryTimer(m_socket.get_executor())
    , m_limits(std::move(limits))
    , m_account(std::move(memory))
    , m_handler(std::move(handleRequest))
    , m_memory(m_account)
    , m_lastProgress(std::chrono::steady_clock::now())
    , m_lastTransfer(m_lastProgress)
{
    boost::system::error_code error;
    const auto clientEndpoint = m_socket.remote_endpoint(error);
    m_clientAddress = error ? std::string() : clientEndpoint.address().to_string();
}

void server_connection::start()
{
    waitForBytes();
}

void server_connection::waitForBytes()
{
    if (!m_open || m_readWaitPending || (isBusy() && m_buffer.size() >= MAX_READ_AHEAD_BYTES)) {
        return;
    }
    m_readWaitPending = true;
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
        self->m_readWaitPending = false;
        if (!self->m_open || error) {
            return;
        }
        self->readBytes();
    });
}

void server_connection::waitForMemory()
{
    m_waitingForMemory = true;
    m_memoryTimer.expires_after(m_memory.retryDelay());
    m_memoryTimer.async_wait([self = shared_from_this()](const boost::system::error_code &cancelled) {
        self->m_waitingForMemory = false;
        if (!cancelled && self->m_open) {
            self->waitForBytes();
        }
    });
}

void server_connection::noteTransfer(std::size_t bytes)
{
    m_bytesSinceTransfer += bytes;
    if (m_bytesSinceTransfer >= FAIR_TRANSFER_BYTES) {
        m_bytesSinceTransfer = 0;
        m_lastTransfer = std::chrono::steady_clock::now();
    }
}

void server_connection::readBytes()
{
    // A request that is handled already is not held up by what follows it.
    if (m_state == state::reading && !m_memory.mayGrow(restOfBody(m_parser))) {
        // The kernel keeps what arrives meanwhile; the client is not to blame for the pause.
        m_lastTransfer = std::chrono::steady_clock::now();
        waitForMemory();
        chargeMemory();
        return;
    }
    boost::system::error_code error;
    const std::size_t count = m_socket.read_some(m_buffer.prepare(READ_BYTES), error);
    if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
        waitForBytes();
        return;
    }
    if (error) {
        handleClientDisconnect();
        return;
    }
    m_buffer.commit(count);
    noteTransfer(count);
    if (m_state == state::reading) {
        parse();
    }
    chargeMemory();
    waitForBytes();
}

void server_connection::chargeMemory()
{
    if (m_buffer.size() == 0) {
        m_buffer.shrink_to_fit();
    }
    // What the kernel holds is charged while it isn't read.
    const bool isPaused = m_waitingForMemory || (isBusy() && m_buffer.size() >= MAX_READ_AHEAD_BYTES);
    m_memory.set((isPaused ? RECEIVE_BUFFER_BYTES : 0) + m_buffer.capacity() + (m_parser ? bytesOf(m_parser->get()) : 0) + m_response.body().size());
}

void server_connection::parse()
{
    if (m_buffer.size() == 0) {
        return;
    }
    if (!m_parser) {
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_limits->headerBytes));
        m_parser->body_limit(m_limits->bodyBytes);
        m_parser->eager(true);
        m_lastProgress = std::chrono::steady_clock::now();
        m_lastTransfer = m_lastProgress;
        m_requestBegan = m_lastProgress;
    }
    const bool headerWasDone = m_parser->is_header_done();
    boost::system::error_code error;
    // put() may return after a part of the message, for example after one chunk, so it is called until it consumes no more bytes.
    while (!m_parser->is_done() && m_buffer.size() > 0) {
        const std::size_t used = putBytes(*m_parser, m_buffer.data(), error);
        m_buffer.consume(used);
        if (error || used == 0) {
            break;
        }
    }
    if (error && error != beast::http::error::need_more) {
        if (error == beast::http::error::header_limit) {
            reject(beast::http::status::request_header_fields_too_large);
        } else if (error == beast::http::error::body_limit) {
            reject(beast::http::status::payload_too_large);
        } else {
            reject(beast::http::status::bad_request);
        }
        return;
    }
    if (m_parser->is_header_done() && fieldCount(m_parser->get()) > m_limits->headerFields) {
        reject(beast::http::status::request_header_fields_too_large);
        return;
    }
    // The parser leaves a chunk's size line and the trailers in the buffer until they are complete.
    if (m_parser->is_header_done() && !m_parser->is_done() && m_buffer.size() > m_limits->trailerBytes) {
        reject(beast::http::status::request_header_fields_too_large);
        return;
    }
    if (m_parser->is_header_done()) {
        m_lastProgress = std::chrono::steady_clock::now();
        const auto &header = m_parser->get();
        // A request with both headers is rejected because it allows request smuggling.
        if (header.count(beast::http::field::transfer_encoding) > 0 && header.count(beast::http::field::content_length) > 0) {
            reject(beast::http::status::bad_request);
            return;
        }
        if (!headerWasDone && !m_parser->is_done() && beast::iequals(header[beast::http::field::expect], "100-continue")) {
            boost::system::error_code ignored; // The error is ignored because the next read reports the disconnect.
            boost::asio::write(m_socket, boost::asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25), ignored);
        }
    }
    if (m_parser->is_done()) {
        handleRequest();
    }
}

void server_connection::handleRequest()
{
    m_memory.stopGrowing();
    http_request_message request = m_parser->release();
    m_parser.reset();
    chargeMemory();
    m_state = state::handling;
    m_headRequest = request.method() == beast::http::verb::head;
    m_closeAfterResponse = m_closeAfterResponse || !request.keep_alive();
    auto memory = std::make_unique<memory_charge>(m_account);
    memory->set(bytesOf(request));
    m_exchange = std::make_shared<http_exchange>(weak_from_this(), std::move(request), std::chrono::steady_clock::now(), m_clientAddress, std::move(memory));
    m_handler(m_exchange);
}

void server_connection::reject(beast::http::status status)
{
    m_memory.stopGrowing();
    m_parser.reset();
    m_state = state::handling;
    m_closeAfterResponse = true;
    respond(http_response_message(status, 11));
}

void server_connection::respond(http_response_message response)
{
    if (!m_open || m_state != state::handling) {
        return;
    }
    m_exchange.reset();
    m_response = std::move(response);
    m_response.keep_alive(!m_closeAfterResponse);
    m_response.prepare_payload();
    if (m_headRequest) {
        std::string().swap(m_response.body());
    }
    m_state = state::writing;
    m_lastProgress = std::chrono::steady_clock::now();
    m_lastTransfer = m_lastProgress;
    chargeMemory();
    write();
}

void server_connection::write()
{
    m_serializer.emplace(m_response);
    m_serializer->split(m_headRequest);
    if (m_headRequest) {
        beast::http::async_write_header(
            m_socket, *m_serializer, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) { self->handleWritten(error); });
        return;
    }
    writeSome();
}

void server_connection::writeSome()
{
    beast::http::async_write_some(m_socket, *m_serializer, [self = shared_from_this()](const boost::system::error_code &error, std::size_t count) {
        self->noteTransfer(count);
        if (!error && self->m_open && !self->m_serializer->is_done()) {
            self->writeSome();
        } else {
            self->handleWritten(error);
        }
    });
}

void server_connection::handleWritten(const boost::system::error_code &error)
{
    m_serializer.reset();
    dropResponse();
    chargeMemory();
    if (!m_open) {
        return;
    }
    if (error || m_closeAfterResponse) {
        close();
        return;
    }
    m_state = state::reading;
    m_lastProgress = std::chrono::steady_clock::now();
    parse();
    chargeMemory();
    waitForBytes();
}

void server_connection::dropResponse()
{
    // An assignment of an empty body would keep the memory of the old one.
    std::string().swap(m_response.body());
    m_response = http_response_message();
}

void server_connection::handleClientDisconnect()
{
    const std::shared_ptr<http_exchange> exchange = std::move(m_exchange);
    m_exchange.reset();
    if (m_state == state::writing) {
        // The client may have closed only its sending side, so the response is still written to its end.
        m_closeAfterResponse = true;
        return;
    }
    close();
    if (exchange) {
        exchange->notifyClientDisconnect();
    }
}

void server_connection::closeIfIdle()
{
    if (m_open && isIdle()) {
        close();
    }
}

connection_load server_connection::load(steady_time now) const
{
    const auto sinceTransfer = std::chrono::duration_cast<std::chrono::microseconds>(now - m_lastTransfer);
    return {m_clientAddress, m_memory.bytes(), sinceTransfer, isIdle(), m_state == state::reading, m_state == state::handling};
}

void server_connection::enforceTimeouts(steady_time now)
{
    const auto elapsed = now - m_lastProgress;
    if (m_state == state::handling) {
        return;
    }
    if (m_state == state::writing) {
        if (elapsed > m_limits->bodyTimeout) {
            close();
        }
        return;
    }
    if (!m_parser) {
        if (elapsed > m_limits->idleTimeout) {
            close();
        }
        return;
    }
    // A client that sends single bytes would otherwise hold its connection for as long as it likes.
    const std::chrono::seconds slowestBody(m_parser->get().body().size() / std::max<std::size_t>(m_limits->bodyBytesPerSecond, 1));
    const bool isTooSlow = now - m_requestBegan > m_limits->headerTimeout + m_limits->bodyTimeout + slowestBody;
    if (elapsed > (m_parser->is_header_done() ? m_limits->bodyTimeout : m_limits->headerTimeout) || isTooSlow) {
        reject(beast::http::status::request_timeout);
    }
}

void server_connection::close()
{
    if (!m_open) {
        return;
    }
    m_open = false;
    // The server drops its closed connections only at its next check. The response of a write that is still pending is freed when that ends.
    m_parser.reset();
    m_buffer = {};
    m_memoryTimer.cancel();
    m_memory.stopGrowing();
    if (!m_serializer) {
        dropResponse();
    }
    chargeMemory();
    boost::system::error_code ignored; // The connection is discarded even if shutdown or close fails.
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

} // namespace snipefall
