#pragma once

#include <memory>

#include "core/clock.h"
#include "policy/backend_table.h"
#include "policy/caller_wait_estimator.h"
#include "policy/organisations/credential_knowledge.h"
#include "policy/query_admission.h"
#include "policy/return_schedule.h"
#include "policy/route_latency_tracker.h"
#include "policy/route_matcher.h"
#include "policy/shared_retry_budget.h"
#include "tier/boot_clock.h"

namespace snipefall {

/** State shared by the controllers of one node. All of them run on one event loop, so access needs no lock. */
struct tier_blackboard
{
    explicit tier_blackboard(const failure_domain_id &domain, std::uint64_t seed)
        : servers(domain, seed)
        , admission(seed)
    {
    }

    std::shared_ptr<const route_matcher> routes; ///< Routes of the configuration in force; null until the first one is known.
    credential_knowledge credentials; ///< How old the known keys of callers were, and may be.
    duration credentialsAsOf{}; ///< When that was noted, as the time since boot.
    bool serversKnown = false; ///< True once the platform's list of backend servers has been read.
    bool domainsKnown = false; ///< True once the list of excluded failure domains has been read.
    bool movesKnown = false; ///< True once the list of version moves has been read.
    bool stopping = false; ///< True once a graceful shutdown has begun.
    backend_table servers;
    shared_retry_budget budget;
    return_schedule returns;
    route_latency_tracker latencies;
    caller_wait_estimator elapsed;
    query_admission admission;

    /** How old the known keys are now; a suspension of the machine counts. */
    credential_knowledge credentialsNow() const
    {
        return {credentials.age + (sinceBoot() - credentialsAsOf), credentials.additionBound, credentials.revocationBound};
    }
    /** True if the node knows where it may send requests; a started node must not send any before. */
    bool knowsTargets() const { return routes && serversKnown && domainsKnown && movesKnown; }
    /** True if the node can serve callers. */
    bool ready() const { return knowsTargets() && !stopping; }
};

} // namespace snipefall
