#pragma once

#include <memory>

#include "core/clock.h"
#include "policy/backend_table.h"
#include "policy/elapsed_estimate.h"
#include "policy/route_latency.h"
#include "policy/route_matcher.h"
#include "policy/shared_retry_budget.h"

namespace snipefall {

/** What the controllers of one node share. All of them run on one event loop, so there is no lock. */
struct tier_blackboard
{
    explicit tier_blackboard(const failure_domain_id &domain, std::uint64_t seed)
        : servers(domain, seed)
    {
    }

    std::shared_ptr<const route_matcher> routes; ///< Null until the first configuration is known.
    bool serversKnown = false; ///< The platform's list of backend servers was read once.
    bool stopping = false;
    backend_table servers;
    shared_retry_budget budget;
    route_latency latencies;
    elapsed_estimate elapsed;

    bool ready() const { return routes && serversKnown && !stopping; }
};

} // namespace snipefall
