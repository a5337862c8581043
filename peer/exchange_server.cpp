#include "peer/exchange_server.h"

#include <future>

#include <thrift/TProcessor.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TServerSocket.h>
#include <thrift/transport/TSocket.h>

#include "core/clock.h"
#include "core/logger.h"
#include "peer/framed_transport_factory.h"
#include "peer/generated/peer_exchange.h"
#include "peer/thrift_bytes.h"

namespace snipefall {

namespace {

using apache::thrift::protocol::TProtocol;
using apache::thrift::transport::TTransportException;

class request_handler : public peer_messages::peer_exchangeIf
{
public:
    request_handler(exchange_server &server, std::string ip)
        : m_server(server)
        , m_ip(std::move(ip))
    {
    }

    void exchange(peer_messages::envelope &result, const peer_messages::envelope &request) override
    {
        auto response = m_server.answer(request, m_ip);
        if (!response) {
            throw apache::thrift::TException("refused");
        }
        swap(result, *response);
    }

private:
    exchange_server &m_server;
    std::string m_ip;
};

/** Closes a connection from an address that is not allowed, without reading from it. */
class refusing_processor : public apache::thrift::TProcessor
{
public:
    bool process(std::shared_ptr<TProtocol>, std::shared_ptr<TProtocol>, void *) override { return false; }
};

/** Counts input that is refused before an envelope could be decoded from it. */
class counting_processor : public apache::thrift::TProcessor
{
public:
    counting_processor(std::shared_ptr<apache::thrift::TProcessor> inner, refusal_counters &refusals, std::string ip)
        : m_inner(std::move(inner))
        , m_refusals(refusals)
        , m_ip(std::move(ip))
    {
    }

    bool process(std::shared_ptr<TProtocol> input, std::shared_ptr<TProtocol> output, void *context) override
    {
        try {
            return m_inner->process(std::move(input), std::move(output), context);
        } catch (const TTransportException &error) {
            // The other error types mean that the connection was closed, timed out or was interrupted.
            if (error.getType() == TTransportException::CORRUPTED_DATA) {
                m_refusals.add(refusal_reason::oversized, m_ip);
            }
            throw;
        } catch (const apache::thrift::protocol::TProtocolException &) {
            m_refusals.add(refusal_reason::malformed, m_ip);
            throw;
        }
    }

private:
    std::shared_ptr<apache::thrift::TProcessor> m_inner;
    refusal_counters &m_refusals;
    std::string m_ip;
};

class processor_factory : public apache::thrift::TProcessorFactory
{
public:
    processor_factory(exchange_server &server, refusal_counters &refusals)
        : m_server(server)
        , m_refusals(refusals)
    {
    }

    std::shared_ptr<apache::thrift::TProcessor> getProcessor(const apache::thrift::TConnectionInfo &connection) override
    {
        const auto socket = std::dynamic_pointer_cast<apache::thrift::transport::TSocket>(connection.transport);
        const std::string ip = socket ? socket->getPeerAddress() : std::string();
        if (!m_server.acceptsAddress(ip)) {
            return std::make_shared<refusing_processor>();
        }
        auto inner = std::make_shared<peer_messages::peer_exchangeProcessor>(std::make_shared<request_handler>(m_server, ip));
        return std::make_shared<counting_processor>(std::move(inner), m_refusals, ip);
    }

private:
    exchange_server &m_server;
    refusal_counters &m_refusals;
};

/** Redirects Thrift's own messages to the debug log: they are about closed connections, which the code that calls Thrift reports. */
void logThriftMessage(const char *message)
{
    logDebug("thrift", {{"message", message}});
}

/** Fulfils a promise as soon as the server socket listens. */
class started_event : public apache::thrift::server::TServerEventHandler
{
public:
    explicit started_event(std::shared_ptr<std::promise<std::optional<failure>>> started)
        : m_started(std::move(started))
    {
    }

    void preServe() override { m_started->set_value(std::nullopt); }

private:
    std::shared_ptr<std::promise<std::optional<failure>>> m_started;
};

} // namespace

exchange_server::exchange_server(envelope_codec &codec, allowed_peers allowed, exchange_limits limits, refusal_counters &refusals)
    : m_codec(codec)
    , m_allowed(std::move(allowed))
    , m_limits(limits)
    , m_refusals(refusals)
    , m_guard(2 * codec.maxClockSkewMs())
{
}

exchange_server::~exchange_server()
{
    stop();
}

void exchange_server::registerHandler(message_kind kind, exchange_handler handler)
{
    m_handlers[kind] = std::move(handler);
}

std::optional<failure> exchange_server::start(const socket_address &address)
{
    apache::thrift::GlobalOutput.setOutputFunction(logThriftMessage);
    const auto socket = std::make_shared<apache::thrift::transport::TServerSocket>(address.ip, address.port);
    const auto idleMs = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(m_limits.idleTimeout).count());
    socket->setRecvTimeout(idleMs);
    socket->setSendTimeout(idleMs);
    const auto limit = static_cast<std::int32_t>(m_limits.maxFrameBytes);
    m_server = std::make_shared<apache::thrift::server::TThreadedServer>(std::make_shared<processor_factory>(*this, m_refusals),
                                                                         socket,
                                                                         std::make_shared<framed_transport_factory>(m_limits.maxFrameBytes),
                                                                         std::make_shared<apache::thrift::protocol::TCompactProtocolFactory>(limit, limit));
    m_server->setConcurrentClientLimit(m_limits.maxConnections);
    const auto started = std::make_shared<std::promise<std::optional<failure>>>();
    std::future<std::optional<failure>> result = started->get_future();
    m_server->setServerEventHandler(std::make_shared<started_event>(started));
    m_thread = std::thread([server = m_server, started] {
        try {
            server->serve();
        } catch (const std::exception &error) {
            logError("exchange_server_failed", {{"error", error.what()}});
            try {
                started->set_value(failure{error_code::unavailable, std::string("listen: ") + error.what()});
            } catch (const std::future_error &) {
                // The promise is already fulfilled: the server failed after it had started.
                return;
            }
        }
    });
    std::optional<failure> failed = result.get();
    if (failed) {
        m_thread.join();
        m_server.reset();
    }
    return failed;
}

void exchange_server::stop()
{
    if (m_thread.joinable()) {
        m_server->stop();
        m_thread.join();
    }
    m_server.reset();
}

bool exchange_server::acceptsAddress(const std::string &ip)
{
    if (m_allowed.allows(ip)) {
        return true;
    }
    m_refusals.add(refusal_reason::address_not_allowed, ip);
    return false;
}

std::optional<peer_messages::envelope> exchange_server::answer(const peer_messages::envelope &request, const std::string &ip)
{
    refusal_reason reason{};
    const auto message = m_codec.open(request, ip, wallClockMs(), &m_guard, reason);
    if (!message) {
        m_refusals.add(reason, ip);
        return std::nullopt;
    }
    const auto handler = m_handlers.find(message->kind);
    if (handler == m_handlers.end()) {
        m_refusals.add(refusal_reason::unknown_kind, ip);
        return std::nullopt;
    }
    outcome<std::string> result = handler->second(*message);
    if (result) {
        return m_codec.seal(message->kind, message->sender, std::move(result).value(), message->sequence);
    }
    peer_messages::exchange_failure reported;
    reported.code = static_cast<std::int16_t>(result.reason().code);
    reported.message = result.reason().message;
    return m_codec.seal(message_kind::exchange_failure, message->sender, toThriftBytes(reported), message->sequence);
}

} // namespace snipefall
