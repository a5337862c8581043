#pragma once

#include <mutex>

#include "core/ids.h"
#include "node/query_admission.h"
#include "policy/extra_load_budget.h"
#include "policy/latency_estimator.h"

namespace snipefall {

/** State shared by all queries of one service; its mutex serialises their events. */
struct service_runtime
{
    service_runtime(std::size_t maxQueued, query_admission::permits_function permits)
        : admission(maxQueued, std::move(permits))
    {
    }

    std::mutex mutex;
    extra_load_budget budget;
    latency_estimator latencies;
    query_admission admission; ///< Has its own lock.
};

} // namespace snipefall
