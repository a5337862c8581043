#pragma once

#include <cstdint>
#include <string_view>

namespace snipefall {

/** Reason why a sub-request failed or a shard is missing from an answer. */
enum class shard_failure : std::uint8_t
{
    late, ///< The sub-request was sent, but not answered before the query ended.
    no_replica, ///< No server holds the shard.
    permit_denied, ///< No server that holds the shard had a free permit for this node.
    connect_failed, ///< The connection to the server failed; the sub-request was not run.
    closed, ///< The connection was closed without an answer.
    shed, ///< The server refused the sub-request because of overload (429); it was not run.
    draining, ///< The server is draining (503); the sub-request was not run.
    snapshot_not_held, ///< The server no longer holds the pinned snapshot (409).
    no_progress, ///< No data arrived on the connection for too long.
    deadline, ///< The sub-request's deadline passed.
    invalid_answer, ///< The answer is malformed, or belongs to another shard or snapshot.
};

/** Returns the stable name of a failure, as used in answers. */
std::string_view toString(shard_failure failure);

} // namespace snipefall
