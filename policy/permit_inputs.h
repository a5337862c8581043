#pragma once

#include <memory>
#include <vector>

#include "policy/cluster_view.h"
#include "policy/permit_share.h"
#include "policy/placement_member.h"

namespace snipefall {

/** The inputs of a permit_holder that the rest of its node provides for one service. */
struct permit_inputs
{
    std::shared_ptr<const cluster_view> cluster; ///< Shared by all services; never null.
    std::vector<placement_member> placed; ///< Nodes that should be in the ring: placeService() with MAX_PERMIT_HOLDERS. Changes only with the membership.
    permit_share limit; ///< Limit of each backend server of the service.
    permit_share inUse; ///< Permits that this node uses now: the maximum over the backend servers.
};

} // namespace snipefall
