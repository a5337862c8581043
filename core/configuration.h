#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "core/ids.h"
#include "core/service_settings.h"

namespace snipefall {

/** One version of the configuration, parsed and validated from its JSON document. */
struct configuration
{
    config_version version;
    std::map<service_id, service_settings> services;
    std::set<failure_domain_id> excludedDomains; ///< Failure domains to which no new work is sent.
    std::uint32_t entryTtlMs = 5000; ///< How long callers may cache the list of entry nodes, in milliseconds.
};

} // namespace snipefall
