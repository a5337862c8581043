#pragma once

#include <cstddef>

namespace snipefall {

/** Why a message from a peer was refused. */
enum class refusal_reason
{
    address_not_allowed,
    oversized,
    malformed, ///< Truncated, or not a message of this protocol.
    unknown_version,
    unknown_key,
    wrong_authenticator,
    wrong_recipient,
    own_message,
    stale_time, ///< The send time differs from this node's clock by more than the allowed skew: the clocks differ, or the message was delayed.
    stale_incarnation,
    replayed,
    unknown_kind,
};

constexpr std::size_t REFUSAL_REASON_COUNT = 12;

inline const char *toString(refusal_reason reason)
{
    constexpr const char *NAMES[REFUSAL_REASON_COUNT] = {"address_not_allowed",
                                                         "oversized",
                                                         "malformed",
                                                         "unknown_version",
                                                         "unknown_key",
                                                         "wrong_authenticator",
                                                         "wrong_recipient",
                                                         "own_message",
                                                         "stale_time",
                                                         "stale_incarnation",
                                                         "replayed",
                                                         "unknown_kind"};
    return NAMES[static_cast<std::size_t>(reason)];
}

} // namespace snipefall
