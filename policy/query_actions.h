#pragma once

#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/query_outcome.h"
#include "policy/query_plan.h"

namespace snipefall {

/** Request to the driver to send a sub-request; if no permit is available, the driver calls query_execution::permitDenied() instead. */
struct send_action
{
    sub_request_id sub;
    shard_index shard;
    server_index server;
    time_point deadline;
    bool extra = false; ///< Whether this is a hedge or retry, for which a token was taken from the extra_load_budget.
};

/** Request to the driver to cancel a sub-request whose answer is no longer needed. */
struct cancel_action
{
    sub_request_id sub;
    server_index server;
    duration age{}; ///< Time since the send: a lower bound of the latency, recorded for the latency estimate.
};

/** Actions that the driver of a query_execution performs after an event. Event handlers append; the driver calls clear(), which keeps the capacity. */
struct query_actions
{
    std::vector<send_action> sends;
    std::vector<cancel_action> cancels;
    /**
     * Set when no usable replica of some shard holds the pinned snapshot any more. If a newer snapshot exists, the driver calls
     * query_execution::abandon() and starts a new query_execution with what is left of the deadline, even if the same event set finish. Otherwise the
     * query continues on the old snapshot.
     */
    bool restartOnNewerSnapshot = false;
    std::optional<query_outcome> finish; ///< Set by the event that ends the query.

    void clear()
    {
        sends.clear();
        cancels.clear();
        restartOnNewerSnapshot = false;
        finish.reset();
    }
};

} // namespace snipefall
