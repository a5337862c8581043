#pragma once

#include <string>

#include "core/ids.h"

namespace snipefall {

/** One line of the platform's list of VMs; the list lags behind the VMs. */
struct vm_entry
{
    std::string id;
    std::string address; ///< "ip:port"
    service_id service; ///< Empty for a node of this system.
    version_id version;
    failure_domain_id domain;
    std::string state; ///< "live" or "leaving".
};

} // namespace snipefall
