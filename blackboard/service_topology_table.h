#pragma once

#include <memory>

#include "blackboard/service_topology.h"
#include "blackboard/sharded_table.h"
#include "core/ids.h"

namespace snipefall {

/** The backend servers of each service; written by the topology controller, read by the query path. */
using service_topology_table = sharded_table<service_id, std::shared_ptr<const service_topology>>;

} // namespace snipefall
