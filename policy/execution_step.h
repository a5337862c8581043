#pragma once

#include <optional>
#include <vector>

#include "core/clock.h"
#include "policy/backend_choice.h"
#include "policy/execution_result.h"

namespace snipefall {

/** A sub-request to send. */
struct sub_request_send
{
    std::size_t id = 0; ///< Counts the sub-requests of one request.
    std::size_t part = 0; ///< Index of the shard; 0 for requests to one backend server.
    backend_choice server;
    bool repeated = false; ///< Not the first one for its shard.
};

/** What is to be done after an event of a request. */
struct execution_step
{
    std::vector<sub_request_send> sends;
    std::vector<std::size_t> abandoned; ///< Sub-requests whose answers are of no use any more.
    std::optional<execution_result> result;
    time_point wakeAt; ///< The execution needs a tick at this time at the latest.
};

} // namespace snipefall
