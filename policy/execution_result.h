#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/clock.h"

namespace snipefall {

/** How a request ends. */
struct execution_result
{
    enum class kind
    {
        answered, ///< With the sub-answers in @c subRequests.
        not_run, ///< No backend server ran it or will run it.
        failed, ///< It may have run and has no answer.
        timed_out, ///< It may have run, and the time for its answer is over.
    };

    kind outcome = kind::failed;
    std::vector<std::size_t> subRequests; ///< Whose answers make up the answer; a single one for requests to one backend server.
    std::size_t missing = 0; ///< Shards without an answer.
    duration retryAfter{}; ///< For not_run: when the caller may come again.
    std::string reason;
};

constexpr const char *toString(execution_result::kind outcome)
{
    constexpr const char *NAMES[] = {"answered", "not_run", "failed", "timed_out"};
    return NAMES[static_cast<int>(outcome)];
}

} // namespace snipefall
