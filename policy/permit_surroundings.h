#pragma once

#include <memory>
#include <vector>

#include "policy/cluster_view.h"
#include "policy/permit_share.h"
#include "policy/placement_member.h"

namespace snipefall {

/** What a node knows of the world around one service's permits. */
struct permit_surroundings
{
    std::shared_ptr<const cluster_view> cluster; ///< Shared by all services; never null.
    std::vector<placement_member> placed; ///< placeService() with MAX_HOLDERS; only changes with the membership.
    permit_share limit; ///< What each backend server of the service bears.
    permit_share inUse; ///< What this node uses now, the largest over the backend servers.
};

} // namespace snipefall
