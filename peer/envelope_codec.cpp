#include "peer/envelope_codec.h"

#include <algorithm>

#include "core/clock.h"
#include "core/crypto.h"
#include "peer/generated/peer_messages_types.h"
#include "peer/replay_guard.h"
#include "peer/thrift_bytes.h"
#include "policy/member.h"

namespace snipefall {

namespace {

constexpr std::size_t MAX_KEY_ID_BYTES = 16;
constexpr std::size_t MIN_SECRET_BYTES = 16;

std::string authenticator(const peer_messages::envelope &envelope, const std::string &secret)
{
    peer_messages::envelope covered = envelope;
    covered.authenticator.clear();
    return hmacSha256(secret, toThriftBytes(covered));
}

} // namespace

envelope_codec::envelope_codec(envelope_settings settings)
    : m_settings(std::move(settings))
{
}

std::optional<failure> envelope_codec::invalidSettings() const
{
    if (m_settings.self.empty() || m_settings.self.str().size() > MAX_MEMBER_ID_BYTES) {
        return failure{error_code::invalid_argument, "the node id must have 1 to 48 bytes"};
    }
    if (m_settings.keys.empty() || m_settings.keys.size() > 2) {
        return failure{error_code::invalid_argument, "one or two peer keys are needed"};
    }
    for (const peer_key &key : m_settings.keys) {
        if (key.id.empty() || key.id.size() > MAX_KEY_ID_BYTES || key.secret.size() < MIN_SECRET_BYTES) {
            return failure{error_code::invalid_argument, "a peer key needs an id of 1 to 16 bytes and a secret of at least 16 bytes"};
        }
    }
    return std::nullopt;
}

peer_messages::envelope envelope_codec::seal(message_kind kind, const node_id &recipient, std::string payload, std::uint64_t inReplyTo)
{
    peer_messages::envelope envelope;
    envelope.protocolVersion = PROTOCOL_VERSION;
    envelope.sender = m_settings.self.str();
    envelope.senderIncarnation = static_cast<std::int64_t>(m_settings.started.value());
    envelope.sequence = static_cast<std::int64_t>(++m_sequence);
    envelope.keyId = m_settings.keys.front().id;
    envelope.kind = static_cast<std::int16_t>(kind);
    envelope.payload = std::move(payload);
    envelope.recipient = recipient.str();
    envelope.sentMs = static_cast<std::int64_t>(wallClockMs());
    envelope.inReplyTo = static_cast<std::int64_t>(inReplyTo);
    envelope.authenticator = authenticator(envelope, m_settings.keys.front().secret);
    return envelope;
}

std::optional<refusal_reason> envelope_codec::check(const peer_messages::envelope &envelope, std::uint64_t nowMs) const
{
    if (envelope.protocolVersion != PROTOCOL_VERSION) {
        return refusal_reason::unknown_version;
    }
    if (envelope.sender.empty() || envelope.sender.size() > MAX_MEMBER_ID_BYTES || envelope.sequence <= 0 || envelope.senderIncarnation < 0) {
        return refusal_reason::malformed;
    }
    const auto key = std::find_if(m_settings.keys.begin(), m_settings.keys.end(), [&](const peer_key &known) { return known.id == envelope.keyId; });
    if (key == m_settings.keys.end()) {
        return refusal_reason::unknown_key;
    }
    if (!constantTimeEquals(authenticator(envelope, key->secret), envelope.authenticator)) {
        return refusal_reason::wrong_authenticator;
    }
    if (envelope.sender == m_settings.self.str()) {
        return refusal_reason::own_message;
    }
    if (!envelope.recipient.empty() && envelope.recipient != m_settings.self.str()) {
        return refusal_reason::wrong_recipient;
    }
    const auto sentMs = static_cast<std::uint64_t>(std::max<std::int64_t>(0, envelope.sentMs));
    if (sentMs + m_settings.maxClockSkewMs < nowMs || nowMs + m_settings.maxClockSkewMs < sentMs) {
        return refusal_reason::stale_time;
    }
    return std::nullopt;
}

std::optional<peer_message> envelope_codec::open(
    const peer_messages::envelope &envelope, const std::string &address, std::uint64_t nowMs, replay_guard *guard, refusal_reason &reason) const
{
    std::optional<refusal_reason> refused = check(envelope, nowMs);
    peer_message message;
    message.sender = node_id(envelope.sender);
    message.senderIncarnation = incarnation(static_cast<std::uint64_t>(envelope.senderIncarnation));
    message.sequence = static_cast<std::uint64_t>(envelope.sequence);
    if (!refused && guard != nullptr) {
        refused = guard->accept(message.sender, message.senderIncarnation, message.sequence, nowMs);
    }
    if (refused) {
        reason = *refused;
        return std::nullopt;
    }
    message.inReplyTo = static_cast<std::uint64_t>(envelope.inReplyTo);
    message.kind = static_cast<message_kind>(envelope.kind);
    message.payload = envelope.payload;
    message.address = address;
    return message;
}

std::string envelope_codec::encode(const peer_messages::envelope &envelope)
{
    return toThriftBytes(envelope);
}

bool envelope_codec::decode(std::string_view bytes, peer_messages::envelope &envelope)
{
    return fromThriftBytes(bytes, envelope);
}

} // namespace snipefall
