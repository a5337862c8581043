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
    std::size_t id = 0; ///< Number of the sub-request in its request, counted from 0.
    std::size_t part = 0; ///< Index of the shard; 0 for a request to a single backend server.
    backend_choice server;
    bool repeated = false; ///< Whether this is a retry or hedge, not the first sub-request of its part.
};

/** Actions that the driver of a request_execution performs after an event. */
struct execution_step
{
    std::vector<sub_request_send> sends;
    std::vector<std::size_t> abandoned; ///< Ids of sub-requests that timed out and whose answers are no longer needed.
    std::optional<execution_result> result; ///< Set by the event that ends the request.
    time_point wakeAt; ///< Time by which the driver must call request_execution::tick().
};

} // namespace snipefall
