#pragma once

#include <string>

#include "core/ids.h"

namespace snipefall {

/** A peer whose configuration version is newer than the one of this node. */
struct newer_config_peer
{
    node_id id;
    std::string address; ///< Peer address as "ip:port".
    config_version version;
};

} // namespace snipefall
