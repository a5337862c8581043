#include "policy/route_matcher.h"

#include <algorithm>

namespace snipefall {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return lower;
}

} // namespace

route_matcher::route_matcher(std::shared_ptr<const site_configuration> configuration)
    : m_configuration(std::move(configuration))
{
    for (const request_route &route : m_configuration->routes) {
        m_byHost[lowerCase(route.host)].push_back(&route);
    }
    for (auto &[host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const request_route *left, const request_route *right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
}

const request_route *route_matcher::find(std::string_view host, std::string_view target) const
{
    const auto found = m_byHost.find(lowerCase(host.substr(0, host.find(':'))));
    if (found == m_byHost.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    for (const request_route *route : found->second) {
        if (path.substr(0, route->pathPrefix.size()) == route->pathPrefix) {
            return route;
        }
    }
    return nullptr;
}

} // namespace snipefall
