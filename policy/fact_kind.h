#pragma once

#include <cstdint>

namespace snipefall {

/** The values are part of the protocol; nodes relay kinds that they don't know. */
enum class fact_kind : std::uint16_t
{
    other = 0,
    bad_version = 1,
    quarantined = 2,
    leaving_server = 3,
    cold_server = 4,
    suspected_request = 5,
    draining_node = 6,
    configuration = 7, ///< A configuration version was committed; the payload is its number.
    node_capacity = 8, ///< The payload is the node's share of processor cores in thousandths.
    move_counts = 9, ///< What a node saw of a move on one route; see encodeObservations().
};

} // namespace snipefall
