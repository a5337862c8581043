#pragma once

#include <memory>
#include <random>
#include <set>

#include "core/clock.h"
#include "http/http_exchange.h"
#include "platform/caller_request.h"
#include "tier/request_runner.h"

namespace snipefall {

struct tier_settings;

/** Entry point for callers' requests: finds the route of each request, refuses requests that can't be served, and runs the others. */
class caller_service
{
public:
    caller_service(request_runner::runner_dependencies dependencies, const tier_settings &settings, std::uint64_t seed);

    void handle(const std::shared_ptr<http_exchange> &exchange);
    /** Answers all running requests at once with an error; called when the process is about to stop. */
    void endAll();
    std::size_t running() const { return m_running.size(); }

private:
    /**
     * Runs the request and returns true; otherwise refuses it, or asks for a trial if it is quarantined, and returns false.
     *
     * With run_mode::trial, the trial must have been granted.
     */
    bool serve(const std::shared_ptr<http_exchange> &exchange, caller_request request, request_execution::run_mode mode);
    /** Names the organisation in @p request and returns true, or refuses the request and returns false. */
    bool authenticate(http_exchange &exchange, const site_configuration &configuration, const request_route &route, caller_request &request);
    /** Asks for a trial of a quarantined request; refuses the request if that isn't possible now. */
    void
    askForTrial(const std::shared_ptr<http_exchange> &exchange, const caller_request &request, request_fingerprint fingerprint, const request_route &route);
    void serveTrial(const std::shared_ptr<http_exchange> &exchange, const caller_request &request, request_fingerprint fingerprint);
    void refuseQuarantined(http_exchange &exchange, const request_id &id, request_fingerprint fingerprint);
    void refuse(http_exchange &exchange, unsigned status, const request_id &id, const std::string &reason, duration retryAfter);
    request_times timesOf(const http_exchange &exchange, const caller_request &request, const request_route &route);
    std::vector<service_id> servicesOf(const request_route &route);

    request_runner::runner_dependencies m_dependencies;
    duration m_callerRoundTrip;
    std::size_t m_maxRequests;
    std::mt19937_64 m_random;
    std::set<std::shared_ptr<request_runner>> m_running;
    std::set<std::shared_ptr<http_exchange>> m_waitingForTrial;
};

} // namespace snipefall
