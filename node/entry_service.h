#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "http/http_response.h"

namespace snipefall {

class configuration_replica;

/** Tells callers which addresses to use for a service, and for how long. */
class entry_service
{
public:
    /** The caller addresses of the nodes that should serve a service, the preferred one first. */
    using entries_function = std::function<std::vector<std::string>(const service_id &)>;

    entry_service(const configuration_replica &configurations, entries_function entries);

    http_response handle(const std::string &service) const;

private:
    const configuration_replica &m_configurations;
    entries_function m_entries;
};

} // namespace snipefall
