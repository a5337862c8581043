#pragma once

#include <map>
#include <vector>

#include "core/ids.h"
#include "policy/caller_limits.h"
#include "policy/organisations/organisation_directory.h"
#include "policy/request_route.h"
#include "policy/service_rules.h"

namespace snipefall {

/** One version of the operators' configuration; immutable once it is in force. */
struct site_configuration
{
    config_version version;
    std::vector<request_route> routes;
    std::map<service_id, service_rules> services;
    caller_limits limits;
    organisation_directory organisations; ///< Empty if callers need no keys.
};

} // namespace snipefall
