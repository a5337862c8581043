#pragma once

#include <memory>
#include <string>
#include <vector>

#include "policy/query_plan.h"

namespace snipefall {

/** A query_plan together with the addresses of its backend servers. */
struct planned_query
{
    std::shared_ptr<const query_plan> plan;
    std::vector<std::string> addresses; ///< Indexed by server_index, in the form "ip:port".

    bool empty() const { return !plan || plan->shards.empty(); }
};

} // namespace snipefall
