#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "http/http_response.h"

namespace snipefall {

class configuration_replica;

/** Serves the list of node addresses that callers use for a service, with its time to live. */
class entry_service
{
public:
    /** Returns the caller addresses of the nodes that should serve a service, in order of preference. */
    using entries_function = std::function<std::vector<std::string>(const service_id &)>;

    entry_service(const configuration_replica &configurations, entries_function entries);

    http_response handle(const std::string &service) const;

private:
    const configuration_replica &m_configurations;
    entries_function m_entries;
};

} // namespace snipefall
