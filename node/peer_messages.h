#pragma once

#include "peer/message_kind.h"

namespace snipefall {

/** The kinds of exchanges between nodes; the values are part of the wire protocol. */
enum class peer_exchange_kind : std::int16_t
{
    configuration_pull = static_cast<std::int16_t>(message_kind::first_exchange),
    permit_promises = 101,
    move_observations = 102,
    closing_check = 103,
};

constexpr message_kind toMessageKind(peer_exchange_kind kind)
{
    return static_cast<message_kind>(kind);
}

} // namespace snipefall
