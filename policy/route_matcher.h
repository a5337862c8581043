#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy/site_configuration.h"

namespace snipefall {

/** Finds the route of a request in one version of the configuration. */
class route_matcher
{
public:
    explicit route_matcher(std::shared_ptr<const site_configuration> configuration);

    /** The route of @p host with the longest path prefix that matches @p target; null if none matches. Query string and port are ignored. */
    const request_route *find(std::string_view host, std::string_view target) const;

    const site_configuration &configuration() const { return *m_configuration; }

private:
    std::shared_ptr<const site_configuration> m_configuration;
    std::unordered_map<std::string, std::vector<const request_route *>> m_byHost; ///< Routes by lower-case host name, longest path prefix first.
};

} // namespace snipefall
