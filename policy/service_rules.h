#pragma once

#include <string>

namespace snipefall {

/** What the operators state about the backend servers of one service. */
struct service_rules
{
    std::string healthPath;
    unsigned maxConnections = 0; ///< Connections that each backend server accepts from all nodes together; 0 means not stated.
    double warmUpRequestsPerSecond = 0; ///< What a cold backend server bears; 0 means not stated.
};

} // namespace snipefall
