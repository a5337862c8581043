#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/json.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "store/commit_result.h"

namespace snipefall {

class configuration_replica;
class token_table;

/** Serves the HTTP API for operators. */
class operator_api
{
public:
    /** Handles a route that another component adds; @p rest is the path after the prefix. */
    using route_function = std::function<http_response(const http_request &request, const std::string &rest, const std::string &operatorName)>;

    struct operations
    {
        std::function<commit_result(const configuration_patch &)> commit;
        std::function<json()> status;
        std::function<bool()> ready;
        std::function<std::string()> metrics;
    };

    operator_api(const configuration_replica &configurations, const token_table &tokens, operations nodeOperations);

    /** Adds a route for a method and a path prefix. GET requires the role read, every other method the role write. */
    void addRoute(const std::string &method, const std::string &prefix, route_function handle);

    http_response handle(const http_request &request);

private:
    struct added_route
    {
        std::string method;
        std::string prefix;
        route_function handle;
    };

    http_response route(const http_request &request, const std::string &operatorName);
    http_response showConfiguration() const;
    http_response listPatches(const http_request &request) const;
    http_response submitPatch(const http_request &request, const std::string &operatorName);

    const configuration_replica &m_configurations;
    const token_table &m_tokens;
    operations m_operations;
    std::vector<added_route> m_routes;
};

} // namespace snipefall
