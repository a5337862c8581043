#include "node/caller_api.h"

#include <string_view>

#include "node/api_responses.h"
#include "node/entry_service.h"
#include "node/execute_service.h"
#include "node/hop_forwarder.h"
#include "node/query_service.h"

namespace snipefall {

namespace {

constexpr std::string_view SERVICES_PREFIX = "/v1/services/";

// Counts a running request for the planned stop.
class running_guard
{
public:
    explicit running_guard(std::atomic<int> &count)
        : m_count(count)
    {
        ++m_count;
    }
    ~running_guard() { --m_count; }
    running_guard(const running_guard &) = delete;
    running_guard &operator=(const running_guard &) = delete;

private:
    std::atomic<int> &m_count;
};

http_response methodNotAllowed(const std::string &allowed)
{
    http_response response = errorResponse(405, error_code::invalid_argument, "the method must be " + allowed, run_state::not_run);
    response.headers.push_back({"Allow", allowed});
    return response;
}

} // namespace

caller_api::caller_api(
    const entry_service &entries, const hop_forwarder &hops, query_service &queries, execute_service &executions, configured_function isConfigured)
    : m_entries(entries)
    , m_hops(hops)
    , m_queries(queries)
    , m_executions(executions)
    , m_isConfigured(std::move(isConfigured))
{
}

http_response caller_api::handle(const http_request &request)
{
    const running_guard guard(m_running);
    ++m_arrived;
    http_response response =
        m_isConfigured() ? route(request) : errorResponse(503, error_code::unavailable, "the node is starting and has no configuration", run_state::not_run);
    response.closeConnection = response.closeConnection || m_draining;
    return response;
}

http_response caller_api::route(const http_request &request)
{
    if (request.path == "/v1/entries") {
        return request.method == "GET" ? m_entries.handle(request.parameter("service")) : methodNotAllowed("GET");
    }
    const std::string_view path(request.path);
    if (path.starts_with(SERVICES_PREFIX)) {
        const std::string_view rest = path.substr(SERVICES_PREFIX.size());
        const std::size_t slash = rest.find('/');
        const service_id service{std::string(rest.substr(0, slash))};
        const std::string_view action = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
        const bool known = action == "query" || action == "execute";
        if (known && request.method == "POST" && m_hops.shouldForward(service, request)) {
            return m_hops.forward(service, request);
        }
        if (action == "query") {
            return request.method == "POST" ? m_queries.handle(service, request) : methodNotAllowed("POST");
        }
        if (action == "execute") {
            return request.method == "POST" ? m_executions.handle(service, request) : methodNotAllowed("POST");
        }
    }
    return errorResponse(404, error_code::not_found, "no route " + request.path, run_state::not_run);
}

} // namespace snipefall
