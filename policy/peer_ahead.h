#pragma once

#include <string>

#include "core/ids.h"

namespace snipefall {

/** A peer that holds a newer configuration than this node. */
struct peer_ahead
{
    node_id id;
    std::string address; ///< Its peer address.
    config_version version;
};

} // namespace snipefall
