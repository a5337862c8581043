#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/shard_failure.h"

namespace snipefall {

/** Why a sub-request was sent. */
enum class sub_request_kind : std::uint8_t
{
    first, ///< The first sub-request of its shard.
    hedge, ///< Another sub-request of the shard was still running.
    retry, ///< The shard's earlier sub-requests had failed.
    restart, ///< The first of its shard after the query started again on a newer snapshot.
};

/** How a sub-request ended. */
enum class sub_request_end : std::uint8_t
{
    running,
    answered, ///< Its answer was merged.
    failed, ///< For the reason in sub_request_trace::failure.
    cancelled, ///< Another sub-request of the shard answered first.
    abandoned, ///< The query started again on a newer snapshot.
};

/** One sub-request in the trace of a query. */
struct sub_request_trace
{
    shard_index shard;
    backend_server_id server;
    snapshot_id snapshot;
    sub_request_kind kind = sub_request_kind::first;
    sub_request_end end = sub_request_end::running;
    shard_failure failure = shard_failure::late; ///< Valid if end is failed.
    time_point sentAt;
    std::optional<time_point> endedAt; ///< Empty while it runs.
};

/** The stable name of a kind, as used in answers. */
std::string_view toString(sub_request_kind kind);

/** The stable name of how a sub-request ended, as used in answers; for a failed one that of the failure. */
std::string_view outcomeName(const sub_request_trace &sub);

} // namespace snipefall
