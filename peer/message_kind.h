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
    usage_counts = 5, ///< A datagram with a usage_message.
    usage_lease = 6, ///< A datagram in which the holder of the usage report tells the other candidates that it wrote the record or gave it up.
    first_exchange = 100,
};

} // namespace snipefall
