#pragma once

#include <memory>
#include <string>
#include <vector>

#include "policy/query_plan.h"

namespace snipefall {

/** A query plan with the address of each of its servers. */
struct planned_query
{
    std::shared_ptr<const query_plan> plan;
    std::vector<std::string> addresses; ///< By server_index, "ip:port".

    bool empty() const { return !plan || plan->shards.empty(); }
};

} // namespace snipefall
