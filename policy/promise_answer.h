#pragma once

#include "policy/versioned_permits.h"

namespace snipefall {

/** The answer of a taker; its record helps a holder that is behind. */
struct promise_answer
{
    bool granted = false;
    versioned_permits permits;
};

} // namespace snipefall
