#pragma once

#include "core/ids.h"
#include "policy/versioned_permits.h"

namespace snipefall {

/** A holder asks its designated taker not to use its share for LEASE_TIME. Carries the record, so that the taker catches up without the platform. */
struct promise_request
{
    node_id holder;
    incarnation started;
    versioned_permits permits;
};

} // namespace snipefall
