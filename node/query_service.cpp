#include "node/query_service.h"

#include <algorithm>

#include "core/clock.h"
#include "core/configuration_replica.h"
#include "core/json.h"
#include "core/logger.h"
#include "node/api_responses.h"
#include "node/forwarded_by_header.h"
#include "node/move_manager.h"
#include "node/quarantine_controller.h"
#include "node/query_environment.h"
#include "node/query_runner.h"
#include "node/query_trace_writer.h"
#include "node/respond_and_record.h"
#include "node/service_runtime.h"
#include "policy/latency_key.h"
#include "policy/snapshot_planner.h"

namespace snipefall {

namespace {

constexpr std::uint32_t MAX_RESTARTS = 2;
constexpr std::uint32_t MAX_DEADLINE_MS = 60000;
// With fewer samples the fallback hedge delay is used, because the p95 of a small sample is close to its maximum.
constexpr std::uint64_t MIN_LATENCY_SAMPLES = 50;
// Limits the length of the route names that a move stores and compares.
constexpr std::size_t MAX_ROUTE_LENGTH = 40;
constexpr duration FALLBACK_HEDGE_DELAY = std::chrono::milliseconds(50);

json coverageToJson(const coverage &covered)
{
    json missing = json::array();
    for (const missing_shard &shard : covered.missing) {
        missing.push_back({{"shard", shard.shard.value()}, {"reason", toString(shard.reason)}});
    }
    return {{"shards_answered", covered.shardsAnswered},
            {"shards_total", covered.shardsTotal},
            {"items_seen", covered.itemsSeen},
            {"items_total", covered.itemsTotal},
            {"missing", std::move(missing)}};
}

} // namespace

struct query_service::parsed_query
{
    service_id service;
    version_id version;
    request_id request;
    caller_id caller;
    std::string route;
    std::string query;
    request_fingerprint fingerprint;
    request_crash_status crashStatus = request_crash_status::unknown;
    std::uint32_t callerDeadlineMs = 0;
    service_settings settings;
    std::shared_ptr<const configuration> config;
    std::shared_ptr<service_runtime> runtime;
    time_point received;
    std::shared_ptr<query_trace_context> trace; ///< Empty unless the caller requested a trace.
};

query_service::query_service(node_id self,
                             std::string subRequestIdPrefix,
                             const configuration_replica &configurations,
                             service_topology_table &topologies,
                             query_environment &environment,
                             account_keeper &accounts,
                             share_function share)
    : m_self(std::move(self))
    , m_subRequestIdPrefix(std::move(subRequestIdPrefix))
    , m_configurations(configurations)
    , m_topologies(topologies)
    , m_environment(environment)
    , m_accounts(accounts)
    , m_share(std::move(share))
{
}

http_response query_service::handle(const service_id &service, const http_request &request)
{
    return respondAndRecord(m_accounts, service, request, [&](answer_record &record) { return answer(service, request, record); });
}

http_response query_service::answer(const service_id &service, const http_request &request, answer_record &record)
{
    parsed_query query;
    query.received = system_clock().now();
    query.config = m_configurations.current();
    const auto found = query.config->services.find(service);
    if (found == query.config->services.end()) {
        return errorResponse(404, error_code::not_found, "no service " + service.str(), run_state::not_run);
    }
    query.settings = found->second;
    if (!query.settings.open) {
        return errorResponse(503, error_code::unavailable, "service " + service.str() + " is closed", run_state::not_run);
    }
    const outcome<json> body = parseJson(request.body);
    if (!body || !body->is_object() || !body->contains("query")) {
        return errorResponse(400, error_code::invalid_argument, "the body must be a JSON object with the member \"query\"", run_state::not_run);
    }
    const json deadline = body->value("deadline_ms", json(query.settings.deadlineMs));
    if (!deadline.is_number_unsigned() || deadline.get<std::uint64_t>() == 0 || deadline.get<std::uint64_t>() > MAX_DEADLINE_MS) {
        return errorResponse(400, error_code::invalid_argument, "deadline_ms must be an integer from 1 to 60000", run_state::not_run);
    }
    const json trace = body->value("trace", json(false));
    if (!trace.is_boolean()) {
        return errorResponse(400, error_code::invalid_argument, "trace must be true or false", run_state::not_run);
    }
    query.service = service;
    query.request = record.request;
    query.query = (*body)["query"].dump();
    query.route = jsonValue<std::string>(*body, "route", "query").substr(0, MAX_ROUTE_LENGTH);
    query.caller = caller_id(request.header("Caller"));
    query.callerDeadlineMs = deadline.get<std::uint32_t>();
    query.fingerprint = fingerprintOf({service.str(), query.route, query.query});
    query.crashStatus = m_environment.quarantine.crashStatus(query.fingerprint);
    if (query.crashStatus == request_crash_status::quarantined) {
        return errorResponse(422, error_code::quarantined, "requests like this one crashed backend servers", run_state::not_run);
    }
    const version_choice version = m_environment.moveManager.chooseVersion(service, query.settings.version, record.request.str());
    query.version = version.version;
    query.runtime = runtimeOf(service, query.settings.maxQueuedQueries);
    record.version = query.version;
    if (!trace.get<bool>()) {
        return runAdmitted(query, record);
    }
    query.trace = std::make_shared<query_trace_context>(
        query_trace_context{m_self, request.header(FORWARDED_BY_HEADER), query.received, duration(), version, std::make_shared<query_trace>()});
    http_response response = runAdmitted(query, record);
    addTrace(response, *query.trace, system_clock().now());
    return response;
}

http_response query_service::runAdmitted(const parsed_query &query, answer_record &record)
{
    const time_point deadline = query.received + std::chrono::milliseconds(std::min(query.callerDeadlineMs, query.settings.deadlineMs));
    const time_point offered = system_clock().now();
    const bool admitted = query.runtime->admission.enter(query.caller, deadline);
    const time_point started = system_clock().now();
    if (query.trace) {
        query.trace->admissionWait = started - offered;
    }
    if (!admitted) {
        return errorResponse(429, error_code::overloaded, "the service is at its capacity; the query was not started", run_state::not_run);
    }
    http_response response = runPlanned(query, record);
    query.runtime->admission.leave(query.caller, system_clock().now() - started);
    return response;
}

http_response query_service::runPlanned(const parsed_query &query, answer_record &record)
{
    query_task task = makeTask(query, snapshot_id());
    if (task.planned.empty()) {
        return errorResponse(503, error_code::unavailable, "no backend server of version " + query.version.str() + " holds a snapshot", run_state::not_run);
    }
    // A request that is suspected of a crash is never sent to the last usable server.
    if (query.crashStatus == request_crash_status::suspected && task.planned.plan->servers.size() < 2) {
        return errorResponse(422, error_code::quarantined, "a request like this one was near a crash, and only one backend server is left", run_state::not_run);
    }
    const time_point deadline = query.received + std::chrono::milliseconds(std::min(query.callerDeadlineMs, query.settings.deadlineMs));
    for (std::uint32_t restarts = 0;; ++restarts) {
        task.options.deadline = std::max(duration(1), deadline - system_clock().now());
        record.snapshot = task.planned.plan->snapshot;
        const auto runner = std::make_shared<query_runner>(task, *query.runtime, m_environment);
        const query_result result = runner->run();
        record.firstSubRequests += result.firstSubRequests;
        record.extraSubRequests += result.extraSubRequests;
        if (result.outcome) {
            return makeAnswer(query, *result.outcome, record);
        }
        task = makeTask(query, record.snapshot);
        if (task.planned.empty()) {
            record.outcome = answer_outcome::failed;
            return errorResponse(503, error_code::unavailable, "no snapshot is left to restart the query on", run_state::ran);
        }
        task.options.restarted = true;
        task.options.restartsLeft = MAX_RESTARTS - std::min(MAX_RESTARTS, restarts + 1);
    }
}

http_response query_service::makeAnswer(const parsed_query &query, const query_outcome &ended, answer_record &record) const
{
    const coverage &covered = ended.covered;
    record.itemsSeen = covered.itemsSeen;
    record.itemsTotal = covered.itemsTotal;
    if (ended.status == query_status::below_min_coverage) {
        record.outcome = answer_outcome::failed;
        if (covered.shardsAnswered == 0 && !covered.missing.empty() && covered.missing.front().reason == shard_failure::closed) {
            return errorResponse(503, error_code::unknown_result, "a backend server closed the connection without an answer", run_state::unknown);
        }
        const json error = {{"code", "deadline_exceeded"}, {"message", "the answer is below the service's least coverage"}, {"ran", "ran"}};
        return jsonResponse({{"error", error}, {"coverage", coverageToJson(covered)}}, 504);
    }
    record.outcome = ended.status == query_status::complete ? answer_outcome::complete : answer_outcome::partial;
    // The results are JSON arrays from the backend servers; concatenating their text avoids parsing them a second time.
    http_response response;
    response.body = R"({"service":)" + json(query.service.str()).dump() + R"(,"version":)" + json(query.version.str()).dump() + R"(,"snapshot":)"
        + json(record.snapshot.str()).dump() + R"(,"coverage":)" + coverageToJson(covered).dump() + R"(,"results":[)";
    bool first = true;
    for (const std::optional<std::string> &shard : ended.results) {
        if (!shard || shard->size() <= 2) {
            continue;
        }
        response.body += first ? "" : ",";
        response.body.append(*shard, 1, shard->size() - 2);
        first = false;
    }
    response.body += "]}";
    return response;
}

query_task query_service::makeTask(const parsed_query &query, const snapshot_id &newerThan)
{
    query_task task;
    task.service = query.service;
    task.version = query.version;
    task.request = query.request;
    task.subRequestIdPrefix = m_subRequestIdPrefix;
    task.route = query.route;
    task.query = query.query;
    task.fingerprint = query.fingerprint;
    const query_number number(++m_lastQuery);
    task.planned = plan(query, newerThan, number.value(), newerThan.empty() ? planQuery : planRestart);
    duration hedgeDelay = FALLBACK_HEDGE_DELAY;
    {
        const std::lock_guard lock(query.runtime->mutex);
        if (const auto estimate = query.runtime->latencies.estimate(latency_key{query.service, query.version}, MIN_LATENCY_SAMPLES)) {
            hedgeDelay = estimate->p95;
            task.versionMedianLatency = estimate->p50;
        }
    }
    task.options = makeQueryOptions(query.settings, number, query.callerDeadlineMs, hedgeDelay);
    task.options.canary = query.crashStatus == request_crash_status::unknown || query.crashStatus == request_crash_status::suspected;
    task.trace = query.trace ? query.trace->subRequests : nullptr;
    task.newerSnapshotExists = [this, query](const snapshot_id &pinned) { return !plan(query, pinned, 0, planQuery).empty(); };
    return task;
}

planned_query query_service::plan(const parsed_query &query, const snapshot_id &newerThan, std::uint64_t rotation, plan_function *planner) const
{
    const auto topology = m_topologies.find(query.service);
    if (!topology || !*topology) {
        return {};
    }
    planning_limits limits;
    limits.version = query.version;
    limits.excludedDomains = &query.config->excludedDomains;
    limits.newerThan = newerThan;
    limits.rotation = rotation;
    return planner((*topology)->servers, limits);
}

std::shared_ptr<service_runtime> query_service::runtimeOf(const service_id &service, std::size_t maxQueued)
{
    return m_runtimes.update(service, [&](std::shared_ptr<service_runtime> &runtime) {
        if (!runtime) {
            runtime = std::make_shared<service_runtime>(maxQueued, [this, service] {
                // Admitting one query more than there are slots keeps each server busy while a query waits for the responses of its last shards.
                const std::uint32_t slots = m_share(service).slots;
                return slots == 0 ? 0U : slots + 1;
            });
        }
        return runtime;
    });
}

} // namespace snipefall
