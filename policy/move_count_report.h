#pragma once

#include <string>

#include "core/ids.h"
#include "policy/route_counts.h"

namespace snipefall {

/** A node's answer counts of a move on one route since the node saw the order. A version without answers is left out of the message. */
struct move_count_report
{
    service_id service;
    std::string moveId;
    std::string route; ///< A key of counts_by_route.
    route_counts counts;
};

} // namespace snipefall
