#include "node/entry_service.h"

#include "core/configuration_replica.h"
#include "node/api_responses.h"

namespace snipefall {

entry_service::entry_service(const configuration_replica &configurations, entries_function entries)
    : m_configurations(configurations)
    , m_entries(std::move(entries))
{
}

http_response entry_service::handle(const std::string &service) const
{
    const auto config = m_configurations.current();
    const service_id id(service);
    if (config->services.find(id) == config->services.end()) {
        return errorResponse(404, error_code::not_found, "no service " + service, run_state::not_run);
    }
    return jsonResponse({{"service", service}, {"entries", m_entries(id)}, {"ttl_ms", config->entryTtlMs}});
}

} // namespace snipefall
