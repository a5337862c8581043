#pragma once

#include <string>

namespace snipefall {

/** The operators' configuration for the backend servers of one service. */
struct service_rules
{
    std::string healthPath; ///< Path of the health check.
    unsigned maxConnections = 0; ///< Connections that each backend server accepts from all nodes together; 0 if not configured.
    double warmUpRequestsPerSecond = 0; ///< Request rate that a cold backend server can handle, from all nodes together; 0 if not configured.
};

} // namespace snipefall
