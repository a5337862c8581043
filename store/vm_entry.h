#pragma once

#include <string>

#include "core/ids.h"

namespace snipefall {

/** An entry in the platform's list of VMs; the list lags behind the actual state of the VMs. */
struct vm_entry
{
    std::string id;
    std::string address; ///< "ip:port"
    service_id service; ///< Empty if the VM runs a node of the query tier.
    version_id version;
    failure_domain_id domain;
    std::string state; ///< "live" or "leaving".
};

} // namespace snipefall
