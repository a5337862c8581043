#pragma once

#include <atomic>
#include <optional>
#include <string>
#include <string_view>

#include "core/outcome.h"
#include "peer/envelope_settings.h"
#include "peer/peer_message.h"
#include "peer/refusal_reason.h"

namespace snipefall {

class replay_guard;

namespace peer_messages {
class envelope;
}

/** Signs outgoing messages with HMAC-SHA256 and verifies messages from peers. Thread-safe. */
class envelope_codec
{
public:
    static constexpr std::int32_t PROTOCOL_VERSION = 1;
    static constexpr std::size_t MAX_DATAGRAM_BYTES = 1200;
    static constexpr std::size_t MAX_EXCHANGE_BYTES = 4U << 20U;

    explicit envelope_codec(envelope_settings settings);

    /** Returns why the settings are invalid, or nothing when they are valid. */
    std::optional<failure> invalidSettings() const;

    /** Returns a signed envelope. @p recipient is empty when the id of the node at the target address is not known. */
    peer_messages::envelope seal(message_kind kind, const node_id &recipient, std::string payload, std::uint64_t inReplyTo = 0);

    /**
     * Verifies an envelope from a peer. When it is refused, returns nothing and sets @p reason.
     * @param guard May be null for responses, which are matched to their request by its sequence.
     */
    std::optional<peer_message>
    open(const peer_messages::envelope &envelope, const std::string &address, std::uint64_t nowMs, replay_guard *guard, refusal_reason &reason) const;

    static std::string encode(const peer_messages::envelope &envelope);
    /** Returns false when the bytes are truncated or malformed, or when bytes follow the envelope. */
    static bool decode(std::string_view bytes, peer_messages::envelope &envelope);

    const node_id &self() const { return m_settings.self; }
    std::uint64_t maxClockSkewMs() const { return m_settings.maxClockSkewMs; }

private:
    std::optional<refusal_reason> check(const peer_messages::envelope &envelope, std::uint64_t nowMs) const;

    envelope_settings m_settings;
    std::atomic<std::uint64_t> m_sequence{0};
};

} // namespace snipefall
