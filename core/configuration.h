#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "core/ids.h"
#include "core/service_settings.h"

namespace snipefall {

/** A numbered configuration, as parsed and checked from its JSON document. */
struct configuration
{
    config_version version;
    std::map<service_id, service_settings> services;
    std::set<failure_domain_id> domainsOut; ///< Failure domains that get no new work.
    std::uint32_t entryTtlMs = 5000; ///< How long callers keep an entry answer.
};

} // namespace snipefall
