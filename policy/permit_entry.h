#pragma once

#include "core/ids.h"
#include "policy/permit_share.h"

namespace snipefall {

/** One place in the ring of a permit record. */
struct permit_entry
{
    node_id node;
    incarnation started;
    permit_share share; ///< May be empty: a standby that only takes over and promises.

    bool operator==(const permit_entry &) const = default;
};

} // namespace snipefall
