#include "tier/caller_service.h"

#include <algorithm>

#include "core/logger.h"
#include "http/memory_account.h"
#include "platform/caller_messages.h"
#include "policy/organisations/caller_authentication.h"
#include "policy/request_fingerprint.h"
#include "tier/crash_controller.h"
#include "tier/loop_clock.h"
#include "tier/tier_blackboard.h"
#include "tier/tier_metrics.h"
#include "tier/tier_settings.h"

namespace snipefall {

namespace {

/** Retry-After for callers that are refused because the node is starting or at its request limit. */
constexpr duration BUSY_RETRY_AFTER = std::chrono::milliseconds(100);
/** The final answer is sent this long before the deadline or route timeout, so that it reaches the caller in time. */
constexpr duration ANSWER_MARGIN = std::chrono::milliseconds(10);
/** Bounds of Retry-After for a quarantined request, whose next trial may be hours away or about to begin. */
constexpr duration MIN_QUARANTINE_RETRY_AFTER = std::chrono::seconds(1);
constexpr duration MAX_QUARANTINE_RETRY_AFTER = std::chrono::seconds(60);

/** Requests from the same client address with the same method, host, target and body share a fingerprint: they have the same effect on a backend server. */
request_fingerprint fingerprintOf(const http_exchange &exchange, const caller_request &request)
{
    const http_request_message &message = exchange.request();
    const auto method = message.method_string();
    return snipefall::fingerprintOf({exchange.client(), std::string_view(method.data(), method.size()), request.host, request.target, message.body()});
}

} // namespace

caller_service::caller_service(request_runner::runner_dependencies dependencies, const tier_settings &settings, std::uint64_t seed)
    : m_dependencies(dependencies)
    , m_callerRoundTrip(settings.callerRoundTrip)
    , m_maxRequests(settings.maxRequests)
    , m_random(seed)
{
}

void caller_service::handle(const std::shared_ptr<http_exchange> &exchange)
{
    outcome<caller_request> request = readCallerRequest(exchange->request());
    if (!request) {
        refuse(*exchange, 400, request_id(), request.reason().message, duration::zero());
        return;
    }
    serve(exchange, std::move(request).value(), request_execution::run_mode::normal);
}

bool caller_service::serve(const std::shared_ptr<http_exchange> &exchange, caller_request request, request_execution::run_mode mode)
{
    const std::shared_ptr<const route_matcher> routes = m_dependencies.board.routes;
    if (!m_dependencies.board.knowsTargets()) {
        refuse(*exchange, 503, request.id, routes ? "targets_unknown" : "configuration_unknown", BUSY_RETRY_AFTER);
        return false;
    }
    const request_route *route = routes->find(request.host, request.target);
    if (!route) {
        refuse(*exchange, 404, request.id, "no_route", duration::zero());
        return false;
    }
    if (!authenticate(*exchange, routes->configuration(), *route, request)) {
        return false;
    }
    if (m_dependencies.memory.isShort()) {
        refuse(*exchange, 503, request.id, "short_of_memory", BUSY_RETRY_AFTER);
        return false;
    }
    if (m_running.size() >= m_maxRequests) {
        refuse(*exchange, 503, request.id, "too_many_requests", BUSY_RETRY_AFTER);
        return false;
    }
    const request_fingerprint fingerprint = fingerprintOf(*exchange, request);
    if (mode == request_execution::run_mode::normal && m_dependencies.crashes.refuses(fingerprint)) {
        askForTrial(exchange, request, fingerprint, *route);
        return false;
    }
    const request_times times = timesOf(*exchange, request, *route);
    if (mode == request_execution::run_mode::trial && times.end <= now()) {
        refuse(*exchange, 503, request.id, "no_server_in_time", MIN_QUARANTINE_RETRY_AFTER);
        return false;
    }
    const auto runner =
        std::make_shared<request_runner>(m_dependencies, exchange, std::move(request), fingerprint, routes, *route, servicesOf(*route), times, mode);
    m_running.insert(runner);
    runner->start([this, weak = std::weak_ptr<request_runner>(runner)] { m_running.erase(weak.lock()); });
    return true;
}

bool caller_service::authenticate(http_exchange &exchange, const site_configuration &configuration, const request_route &route, caller_request &request)
{
    const caller_authentication caller = authenticateCaller(configuration.organisations, route.isPublic, request.key, m_dependencies.board.credentialsNow());
    switch (caller.outcome) {
    case caller_authentication::result::accepted:
        request.organisation = caller.owner ? caller.owner->id : organisation_id();
        return true;
    case caller_authentication::result::unknown_key:
        refuse(exchange, 401, request.id, "unknown_key", duration::zero());
        return false;
    case caller_authentication::result::undecided:
        refuse(exchange, 503, request.id, "keys_outdated", BUSY_RETRY_AFTER);
        return false;
    }
    return false;
}

void caller_service::askForTrial(const std::shared_ptr<http_exchange> &exchange,
                                 const caller_request &request,
                                 request_fingerprint fingerprint,
                                 const request_route &route)
{
    const std::vector<service_id> services = servicesOf(route);
    const auto reachable = std::count_if(
        services.begin(), services.end(), [this](const service_id &service) { return m_dependencies.board.servers.hasReachableServer(service, now()); });
    const bool enoughReachable = reachable > 0 && static_cast<double>(reachable) >= route.minCoverage * static_cast<double>(services.size());
    if (m_dependencies.crashes.trialWait(fingerprint) > duration::zero() || !enoughReachable) {
        refuseQuarantined(*exchange, request.id, fingerprint);
        return;
    }
    m_waitingForTrial.insert(exchange);
    m_dependencies.crashes.askForTrial(fingerprint, [this, exchange, request, fingerprint](bool granted) {
        m_waitingForTrial.erase(exchange);
        if (granted) {
            serveTrial(exchange, request, fingerprint);
        } else if (!m_dependencies.crashes.refuses(fingerprint)) {
            // A trial of another node has cleared the request meanwhile.
            serve(exchange, request, request_execution::run_mode::normal);
        } else {
            refuseQuarantined(*exchange, request.id, fingerprint);
        }
    });
}

void caller_service::serveTrial(const std::shared_ptr<http_exchange> &exchange, const caller_request &request, request_fingerprint fingerprint)
{
    if (exchange->finished() || !serve(exchange, request, request_execution::run_mode::trial)) {
        m_dependencies.crashes.endTrial(fingerprint, request.id, {});
    }
}

void caller_service::refuseQuarantined(http_exchange &exchange, const request_id &id, request_fingerprint fingerprint)
{
    const duration wait = m_dependencies.crashes.trialWait(fingerprint);
    refuse(exchange, 503, id, "crashes_backend_servers", std::clamp(wait, MIN_QUARANTINE_RETRY_AFTER, MAX_QUARANTINE_RETRY_AFTER));
}

void caller_service::endAll()
{
    const std::set<std::shared_ptr<request_runner>> running = m_running;
    for (const auto &runner : running) {
        runner->endNow();
    }
    for (const auto &exchange : m_waitingForTrial) {
        exchange->respond(nodeAnswer(503, readCallerRequest(exchange->request())->id, "node_stopping", duration::zero()));
    }
}

void caller_service::refuse(http_exchange &exchange, unsigned status, const request_id &id, const std::string &reason, duration retryAfter)
{
    const auto &routes = m_dependencies.board.routes;
    logInfo("request.refused",
            {{"request", id.str()},
             {"status", std::to_string(status)},
             {"reason", reason},
             {"host", std::string(exchange.request()[boost::beast::http::field::host])},
             {"target", std::string(exchange.request().target()).substr(0, 100)},
             {"config", routes ? std::to_string(routes->configuration().version.value()) : "none"}});
    m_dependencies.metrics.requestEnded("none", reason, duration::zero());
    exchange.respond(nodeAnswer(status, id, reason, retryAfter));
}

request_times caller_service::timesOf(const http_exchange &exchange, const caller_request &request, const request_route &route)
{
    request_times times;
    times.received = std::chrono::time_point_cast<duration>(exchange.received());
    const duration left = request.timeLeft.value_or(route.timeout);
    const duration elapsed = request.timeLeft ? m_dependencies.board.elapsed.estimateWait(route.name, left, route.targetLatency) : duration::zero();
    times.deadline = times.received + std::max(left, duration(std::chrono::milliseconds(1)));
    times.end = times.received + std::max(std::min(left, route.timeout) - ANSWER_MARGIN, duration::zero());
    times.target = times.received + std::max(route.targetLatency - elapsed - m_callerRoundTrip, duration::zero());
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
