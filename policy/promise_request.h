#pragma once

#include "core/ids.h"
#include "policy/versioned_permits.h"

namespace snipefall {

/**
 * Asks the designated successor of a holder to promise that it won't use the holder's share for LEASE_TIME.
 *
 * With the promise, the holder renews its lease while the platform is unavailable. The request carries the holder's record, so that a successor with an older
 * one catches up without the platform.
 */
struct promise_request
{
    node_id holder;
    incarnation started;
    versioned_permits permits;
};

} // namespace snipefall
