#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/clock.h"

namespace snipefall {

/** Result of a request_execution. */
struct execution_result
{
    enum class kind
    {
        answered, ///< The answers of the sub-requests in @c subRequests make up the result.
        not_run, ///< No backend server has run the request or will run it.
        failed, ///< The request may have run, but there is no answer.
        timed_out, ///< The request may have run, but was not answered by request_times::end.
    };

    kind outcome = kind::failed;
    std::vector<std::size_t> subRequests; ///< Ids of the sub-requests whose answers are used; exactly one for a request to a single backend server.
    std::size_t missing = 0; ///< Number of parts without an answer.
    duration retryAfter{}; ///< For not_run: delay after which the caller may retry.
    std::string reason; ///< Why the request ended like this; empty for a regular answer.
};

constexpr const char *toString(execution_result::kind outcome)
{
    constexpr const char *NAMES[] = {"answered", "not_run", "failed", "timed_out"};
    return NAMES[static_cast<int>(outcome)];
}

} // namespace snipefall
