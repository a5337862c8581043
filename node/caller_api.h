#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "core/ids.h"
#include "core/json.h"
#include "http/http_request.h"
#include "http/http_response.h"

namespace snipefall {

class entry_service;
class execute_service;
class request_forwarder;
class query_service;

/** Routes the HTTP requests of callers to the services of this node that handle them. */
class caller_api
{
public:
    /** Returns whether this node has a configuration; without one it can't tell which services exist. */
    using configured_function = std::function<bool()>;

    caller_api(const entry_service &entries,
               const request_forwarder &forwarder,
               query_service &queries,
               execute_service &executions,
               configured_function isConfigured);

    http_response handle(const http_request &request);

    /** From now on, each response closes its connection, so that callers connect to other nodes. */
    void startDraining() { m_draining = true; }
    /** Number of requests in progress. */
    int running() const { return m_running; }
    /** Number of requests received since the process started. */
    std::uint64_t arrived() const { return m_arrived; }
    /** Number of requests of one service that this node is serving or forwarding; a request is counted before it reads the configuration. */
    std::uint64_t running(const service_id &service) const;

private:
    http_response route(const http_request &request);
    http_response routeService(const service_id &service, std::string_view action, const http_request &request);

    const entry_service &m_entries;
    const request_forwarder &m_forwarder;
    query_service &m_queries;
    execute_service &m_executions;
    configured_function m_isConfigured;
    std::atomic<bool> m_draining{false};
    std::atomic<int> m_running{0};
    std::atomic<std::uint64_t> m_arrived{0};
    mutable std::mutex m_mutex;
    std::map<service_id, std::uint64_t>
        m_runningByService; ///< Holds only services with requests in progress, so that requests for unknown service names don't grow it.
};

} // namespace snipefall
