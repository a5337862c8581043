#pragma once

#include <vector>

#include "core/backend_server.h"

namespace snipefall {

/** The known backend servers of one service. Immutable once published, so that readers share it without a lock. */
struct service_topology
{
    std::vector<backend_server> servers;
};

} // namespace snipefall
