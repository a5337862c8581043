#pragma once

#include <mutex>

#include "core/ids.h"
#include "policy/extra_load_budget.h"
#include "policy/latency_estimator.h"

namespace snipefall {

/** The state that all queries of one service share; its mutex serialises their events. */
struct service_runtime
{
    std::mutex mutex;
    extra_load_budget budget;
    latency_estimator latencies;
};

} // namespace snipefall
