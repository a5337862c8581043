#pragma once

#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/query_outcome.h"
#include "policy/query_plan.h"

namespace snipefall {

/** A sub-request to send; when no permit is granted the driver reports permitDenied. */
struct send_action
{
    sub_request_id sub;
    shard_index shard;
    server_index server;
    time_point deadline;
    bool extra = false; ///< A hedge or retry, paid from the budget.
};

/** A sub-request whose answer is no longer wanted. */
struct cancel_action
{
    sub_request_id sub;
    server_index server;
    duration age{}; ///< Lower bound of its latency, for the latency estimate.
};

/** What the driver of a query does after an event. Events append; the driver clears the lists and keeps their memory. */
struct query_actions
{
    std::vector<send_action> sends;
    std::vector<cancel_action> cancels;
    /**
     * No replica of some shard holds the snapshot any more. When a newer snapshot exists the driver calls abandon() and starts a new
     * query_execution with what is left of the deadline, even if a finish came with the same event; otherwise it goes on.
     */
    bool restartOnNewerSnapshot = false;
    std::optional<query_outcome> finish; ///< The last action of a query.

    void clear()
    {
        sends.clear();
        cancels.clear();
        restartOnNewerSnapshot = false;
        finish.reset();
    }
};

} // namespace snipefall
