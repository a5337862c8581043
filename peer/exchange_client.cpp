#include "peer/exchange_client.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TSocket.h>

#include "peer/framed_transport_factory.h"
#include "peer/generated/peer_exchange.h"
#include "peer/thrift_bytes.h"

namespace snipefall {

namespace {

constexpr std::int16_t LAST_ERROR_CODE = static_cast<std::int16_t>(error_code::internal);

failure reportedFailure(const peer_message &response)
{
    peer_messages::exchange_failure reported;
    if (!fromThriftBytes(response.payload, reported) || reported.code < 0 || reported.code > LAST_ERROR_CODE) {
        return {error_code::unknown_result, "the peer reported a failure that can't be read"};
    }
    return {static_cast<error_code>(reported.code), reported.message};
}

} // namespace

exchange_client::exchange_client(envelope_codec &codec, exchange_limits limits, refusal_counters &refusals)
    : m_codec(codec)
    , m_limits(limits)
    , m_refusals(refusals)
{
}

outcome<peer_message> exchange_client::exchange(const std::string &address, const node_id &recipient, message_kind kind, std::string payload, duration timeout)
{
    const auto parsed = socket_address::parse(address);
    if (!parsed) {
        return failure{error_code::invalid_argument, "not an address: " + address};
    }
    const peer_messages::envelope request = m_codec.seal(kind, recipient, std::move(payload));
    if (envelope_codec::encode(request).size() + 64 > m_limits.maxFrameBytes) {
        return failure{error_code::invalid_argument, "the request exceeds the frame limit"};
    }
    const auto timeoutMs = static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(timeout).count());
    const auto socket = std::make_shared<apache::thrift::transport::TSocket>(parsed->ip, parsed->port);
    socket->setConnTimeout(timeoutMs);
    socket->setSendTimeout(timeoutMs);
    socket->setRecvTimeout(timeoutMs);
    try {
        socket->open();
    } catch (const std::exception &error) {
        return failure{error_code::unavailable, std::string("connect: ") + error.what()};
    }
    peer_messages::envelope response;
    try {
        const auto limit = static_cast<std::int32_t>(m_limits.maxFrameBytes);
        const auto transport = framed_transport_factory(m_limits.maxFrameBytes).getTransport(socket);
        peer_messages::peer_exchangeClient client(std::make_shared<apache::thrift::protocol::TCompactProtocol>(transport, limit, limit));
        client.exchange(response, request);
        socket->close();
    } catch (const std::exception &error) {
        return failure{error_code::unknown_result, std::string("exchange: ") + error.what()};
    }
    refusal_reason reason{};
    auto message = m_codec.open(response, address, wallClockMs(), nullptr, reason);
    if (!message) {
        m_refusals.add(reason, address);
        return failure{error_code::unknown_result, std::string("the response was refused: ") + toString(reason)};
    }
    if (message->inReplyTo != static_cast<std::uint64_t>(request.sequence) || (!recipient.empty() && message->sender != recipient)) {
        m_refusals.add(refusal_reason::replayed, address);
        return failure{error_code::unknown_result, "the response belongs to another request"};
    }
    if (message->kind == message_kind::exchange_failure) {
        return reportedFailure(*message);
    }
    return std::move(*message);
}

} // namespace snipefall
