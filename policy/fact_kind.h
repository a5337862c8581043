#pragma once

#include <cstdint>

namespace snipefall {

/** Kind of a fact. The values are part of the wire protocol; nodes also rebroadcast facts of unknown kinds. */
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
    node_capacity = 8, ///< The payload is "<node id>=<number>": the processor cores that the node may use, in thousandths of a core.
    approved_version = 10, ///< A coordinator of a move found no fault until its end; see makeApprovedVersionFact(). The value 9 was used before.
};

} // namespace snipefall
