#pragma once

#include <vector>

#include "core/backend_server.h"

namespace snipefall {

/** The known backend servers of one service; never changed once published. */
struct service_topology
{
    std::vector<backend_server> servers;
};

} // namespace snipefall
