#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/shard_failure.h"

namespace snipefall {

/** Reason why a sub-request was sent. */
enum class sub_request_kind : std::uint8_t
{
    first, ///< The first sub-request of its shard.
    hedge, ///< Sent while another sub-request of the shard was in flight.
    retry, ///< Sent after all earlier sub-requests of the shard had failed.
    restart, ///< The first sub-request of its shard after the query was restarted.
};

/** State of a sub-request: in flight, or how it ended. */
enum class sub_request_end : std::uint8_t
{
    running,
    answered, ///< Its answer was merged.
    failed, ///< It failed for the reason in sub_request_trace::failure.
    cancelled, ///< Cancelled because another sub-request of the shard was answered first.
    abandoned, ///< Cancelled because the query was restarted.
};

/** One sub-request in the trace of a query. */
struct sub_request_trace
{
    shard_index shard;
    backend_server_id server;
    snapshot_id snapshot;
    sub_request_kind kind = sub_request_kind::first;
    sub_request_end end = sub_request_end::running;
    shard_failure failure = shard_failure::late; ///< Only valid if end is sub_request_end::failed.
    time_point sentAt;
    std::optional<time_point> endedAt; ///< std::nullopt while the sub-request is in flight.
};

/** Returns the stable name of a kind, as used in answers. */
std::string_view toString(sub_request_kind kind);

/** Returns the stable name of the state of a sub-request, as used in answers; for a failed sub-request, the name of its failure. */
std::string_view outcomeName(const sub_request_trace &sub);

} // namespace snipefall
