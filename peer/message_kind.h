#pragma once

#include <cstdint>

namespace snipefall {

/** Kinds of messages between nodes; the values are part of the protocol. Exchange handlers use values from first_exchange upwards. */
enum class message_kind : std::int16_t
{
    gossip = 1,
    exchange_failure = 2,
    move_counts = 3, ///< A datagram with a move_count_report.
    fresh_read = 4, ///< A datagram with a fresh_read.
    first_exchange = 100,
};

} // namespace snipefall
