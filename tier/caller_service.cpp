#include "tier/caller_service.h"

#include <algorithm>

#include "core/logger.h"
#include "platform/caller_messages.h"
#include "policy/request_fingerprint.h"
#include "tier/crash_controller.h"
#include "tier/tier_blackboard.h"
#include "tier/tier_metrics.h"
#include "tier/tier_settings.h"

namespace snipefall {

namespace {

/** When callers may come again to a node that is starting or full. */
constexpr duration BUSY_RETRY_AFTER = std::chrono::milliseconds(100);
/** The final answer is sent this long before the time limits, so that it arrives within them. */
constexpr duration END_MARGIN = std::chrono::milliseconds(10);
/** A request that crashes servers is refused for hours; this only keeps its caller from coming back at once. */
constexpr duration CRASHING_RETRY_AFTER = std::chrono::seconds(60);

/** Requests of one caller with the same content do the same on a backend server. */
request_fingerprint fingerprintOf(const http_exchange &exchange, const caller_request &request)
{
    const http_request_message &message = exchange.request();
    const auto method = message.method_string();
    return snipefall::fingerprintOf({exchange.client(), std::string_view(method.data(), method.size()), request.host, request.target, message.body()});
}

} // namespace

caller_service::caller_service(request_runner::environment surroundings, const tier_settings &settings, std::uint64_t seed)
    : m_environment(surroundings)
    , m_callerPath(settings.callerPath)
    , m_maxRequests(settings.maxRequests)
    , m_random(seed)
{
}

void caller_service::handle(const std::shared_ptr<http_exchange> &exchange)
{
    const outcome<caller_request> request = readCallerRequest(exchange->request());
    if (!request) {
        refuse(*exchange, 400, request_id(), request.reason().message, duration::zero());
        return;
    }
    const std::shared_ptr<const route_matcher> routes = m_environment.board.routes;
    if (!routes || !m_environment.board.serversKnown) {
        refuse(*exchange, 503, request->id, routes ? "backend_servers_unknown" : "configuration_unknown", BUSY_RETRY_AFTER);
        return;
    }
    const request_route *route = routes->find(request->host, request->target);
    if (!route) {
        refuse(*exchange, 404, request->id, "no_route", duration::zero());
        return;
    }
    if (m_running.size() >= m_maxRequests) {
        refuse(*exchange, 503, request->id, "too_many_requests", BUSY_RETRY_AFTER);
        return;
    }
    const request_fingerprint fingerprint = fingerprintOf(*exchange, *request);
    if (m_environment.crashes.refuses(fingerprint)) {
        refuse(*exchange, 503, request->id, "crashes_backend_servers", CRASHING_RETRY_AFTER);
        return;
    }
    const request_times times = timesOf(*exchange, *request, *route);
    const auto runner = std::make_shared<request_runner>(m_environment, exchange, *request, fingerprint, routes, *route, servicesOf(*route), times);
    m_running.insert(runner);
    runner->start([this, weak = std::weak_ptr<request_runner>(runner)] { m_running.erase(weak.lock()); });
}

void caller_service::endAll()
{
    const std::set<std::shared_ptr<request_runner>> running = m_running;
    for (const auto &runner : running) {
        runner->endNow();
    }
}

void caller_service::refuse(http_exchange &exchange, unsigned status, const request_id &id, const std::string &reason, duration retryAfter)
{
    const auto &routes = m_environment.board.routes;
    logInfo("request.refused",
            {{"request", id.str()},
             {"status", std::to_string(status)},
             {"reason", reason},
             {"host", std::string(exchange.request()[boost::beast::http::field::host])},
             {"target", std::string(exchange.request().target()).substr(0, 100)},
             {"config", routes ? std::to_string(routes->configuration().version.value()) : "none"}});
    m_environment.metrics.requestEnded("none", reason, duration::zero());
    exchange.respond(ownAnswer(status, id, reason, retryAfter));
}

request_times caller_service::timesOf(const http_exchange &exchange, const caller_request &request, const request_route &route)
{
    request_times times;
    times.received = std::chrono::time_point_cast<duration>(exchange.received());
    const duration left = request.timeLeft.value_or(route.timeout);
    const duration elapsed = request.timeLeft ? m_environment.board.elapsed.note(route.name, left, route.targetLatency) : duration::zero();
    times.deadline = times.received + std::max(left, duration(std::chrono::milliseconds(1)));
    times.end = times.received + std::max(std::min(left, route.timeout) - END_MARGIN, duration::zero());
    times.target = times.received + std::max(route.targetLatency - elapsed - m_callerPath, duration::zero());
    return times;
}

std::vector<service_id> caller_service::servicesOf(const request_route &route)
{
    if (route.isQuery()) {
        return route.shards;
    }
    double total = 0;
    for (const route_target &target : route.targets) {
        total += target.weight;
    }
    double drawn = std::uniform_real_distribution<double>(0.0, total)(m_random);
    for (const route_target &target : route.targets) {
        if (drawn < target.weight) {
            return {target.service};
        }
        drawn -= target.weight;
    }
    return {route.targets.back().service};
}

} // namespace snipefall
