#pragma once

#include <cstdint>
#include <string_view>

namespace snipefall {

/** Why a sub-request failed, and why a shard is missing from an answer. */
enum class shard_failure : std::uint8_t
{
    late, ///< Sent, but no answer before the query ended.
    no_replica, ///< No server holds the shard.
    permit_denied, ///< No server had a free slot for this node.
    connect_failed, ///< Not run.
    closed, ///< The connection was closed without an answer.
    shed, ///< The server refused because of load (429); not run.
    draining, ///< The server is leaving (503); not run.
    snapshot_not_held, ///< The server no longer holds the pinned snapshot (409).
    no_progress, ///< The connection went silent.
    deadline, ///< The sub-request's deadline passed.
    invalid_answer, ///< The answer is of another shard or snapshot, or is malformed.
};

/** The stable name of a failure, as used in answers. */
std::string_view toString(shard_failure failure);

} // namespace snipefall
