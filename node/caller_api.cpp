#include "node/caller_api.h"

#include <string_view>

#include "node/api_responses.h"
#include "node/entry_service.h"
#include "node/execute_service.h"
#include "node/query_service.h"
#include "node/request_forwarder.h"

namespace snipefall {

namespace {

constexpr std::string_view SERVICES_PREFIX = "/v1/services/";

// Counts a running request, so that a planned shutdown can wait for it.
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

// Counts a running request of one service, so that closing the service can wait for it.
class service_guard
{
public:
    service_guard(std::mutex &mutex, std::map<service_id, std::uint64_t> &counts, const service_id &service)
        : m_mutex(mutex)
        , m_counts(counts)
        , m_service(service)
    {
        const std::lock_guard lock(m_mutex);
        ++m_counts[m_service];
    }
    ~service_guard()
    {
        const std::lock_guard lock(m_mutex);
        if (const auto found = m_counts.find(m_service); --found->second == 0) {
            m_counts.erase(found);
        }
    }
    service_guard(const service_guard &) = delete;
    service_guard &operator=(const service_guard &) = delete;

private:
    std::mutex &m_mutex;
    std::map<service_id, std::uint64_t> &m_counts;
    const service_id m_service;
};

http_response methodNotAllowed(const std::string &allowed)
{
    http_response response = errorResponse(405, error_code::invalid_argument, "the method must be " + allowed, run_state::not_run);
    response.headers.push_back({"Allow", allowed});
    return response;
}

} // namespace

caller_api::caller_api(
    const entry_service &entries, const request_forwarder &forwarder, query_service &queries, execute_service &executions, configured_function isConfigured)
    : m_entries(entries)
    , m_forwarder(forwarder)
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

std::uint64_t caller_api::running(const service_id &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runningByService.find(service);
    return found == m_runningByService.end() ? 0 : found->second;
}

http_response caller_api::routeService(const service_id &service, std::string_view action, const http_request &request)
{
    if (request.method != "POST") {
        return methodNotAllowed("POST");
    }
    if (m_forwarder.shouldForward(service, request)) {
        if (std::optional<http_response> response = m_forwarder.forward(service, request)) {
            return std::move(*response);
        }
    }
    return action == "query" ? m_queries.handle(service, request) : m_executions.handle(service, request);
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
        if (action == "query" || action == "execute") {
            const service_guard guard(m_mutex, m_runningByService, service);
            return routeService(service, action, request);
        }
    }
    return errorResponse(404, error_code::not_found, "no route " + request.path, run_state::not_run);
}

} // namespace snipefall
