#pragma once

#include "policy/versioned_permits.h"

namespace snipefall {

/** A successor's answer to a promise_request. It carries the successor's record, so that a holder with an older one catches up. */
struct promise_answer
{
    bool granted = false;
    versioned_permits permits;
};

} // namespace snipefall
