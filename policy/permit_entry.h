#pragma once

#include "core/ids.h"
#include "policy/permit_share.h"

namespace snipefall {

/** An entry of the ring in a permit_record: a node and its share. */
struct permit_entry
{
    node_id node;
    incarnation started; ///< Identifies the run of the node; entries of earlier runs give no permits to a restarted node.
    permit_share share; ///< Empty for a standby, which holds no permits but answers promise requests and can take over the share before it.

    bool operator==(const permit_entry &) const = default;
};

} // namespace snipefall
