#include "node/query_service.h"

#include <algorithm>

#include "core/clock.h"
#include "core/configuration_replica.h"
#include "core/json.h"
#include "core/logger.h"
#include "node/account_keeper.h"
#include "node/api_responses.h"
#include "node/query_runner.h"
#include "node/service_runtime.h"
#include "policy/latency_key.h"
#include "policy/snapshot_planner.h"

namespace snipefall {

namespace {

constexpr std::uint32_t MAX_RESTARTS = 2;
constexpr std::uint32_t MAX_DEADLINE_MS = 60000;
// Before this many samples the hedge delay is the fallback; a p95 of fewer samples is the maximum of a handful.
constexpr std::uint64_t MIN_LATENCY_SAMPLES = 50;
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
    std::string query;
    std::uint32_t callerDeadlineMs = 0;
    service_settings settings;
    std::shared_ptr<const configuration> config;
    std::shared_ptr<service_runtime> runtime;
    time_point received;
};

query_service::query_service(std::string nodeTag,
                             const configuration_replica &configurations,
                             topology_board &topologies,
                             sub_request_dispatcher &dispatcher,
                             fan_out_engine &engine,
                             account_keeper &accounts)
    : m_nodeTag(std::move(nodeTag))
    , m_configurations(configurations)
    , m_topologies(topologies)
    , m_dispatcher(dispatcher)
    , m_engine(engine)
    , m_accounts(accounts)
{
}

http_response query_service::handle(const service_id &service, const http_request &request)
{
    const time_point received = system_clock().now();
    answer_record record;
    record.service = service;
    record.request = request_id(request.header("Request-Id"));
    record.outcome = answer_outcome::not_run;
    http_response response = answer(service, request, record);
    record.latency = system_clock().now() - received;
    // Requests for services that don't exist are not accounted, since any caller could make up names without bound.
    if (response.status != 404) {
        m_accounts.add(record);
    }
    return response;
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
    query.service = service;
    query.request = record.request;
    query.query = (*body)["query"].dump();
    query.callerDeadlineMs = deadline.get<std::uint32_t>();
    query.version = query.settings.version;
    query.runtime = runtimeOf(service);
    record.version = query.version;
    return runPlanned(query, record);
}

http_response query_service::runPlanned(const parsed_query &query, answer_record &record)
{
    snapshot_id newerThan;
    query_task task = makeTask(query, newerThan);
    if (task.planned.empty()) {
        return errorResponse(503, error_code::unavailable, "no backend server of version " + query.version.str() + " holds a snapshot", run_state::not_run);
    }
    const time_point deadline = query.received + task.options.deadline;
    for (std::uint32_t restarts = 0;; ++restarts) {
        record.snapshot = task.planned.plan->snapshot;
        const auto runner = std::make_shared<query_runner>(task, *query.runtime, m_dispatcher, m_engine);
        query_result result = runner->run();
        record.firstSubRequests += result.firstSubRequests;
        record.extraSubRequests += result.extraSubRequests;
        if (result.outcome) {
            const coverage &covered = result.outcome->covered;
            record.itemsSeen = covered.itemsSeen;
            record.itemsTotal = covered.itemsTotal;
            if (result.outcome->status == query_status::below_min_coverage) {
                record.outcome = answer_outcome::failed;
                json refusal = {{"error", {{"code", "deadline_exceeded"}, {"message", "the answer is below the service's least coverage"}, {"ran", "ran"}}},
                                {"coverage", coverageToJson(covered)}};
                return jsonResponse(refusal, 504);
            }
            record.outcome = result.outcome->status == query_status::complete ? answer_outcome::complete : answer_outcome::partial;
            // The results are JSON texts of the backend servers; joining them as text avoids parsing them a second time.
            std::string text = R"({"service":)" + json(query.service.str()).dump() + R"(,"version":)" + json(query.version.str()).dump() + R"(,"snapshot":)"
                + json(record.snapshot.str()).dump() + R"(,"coverage":)" + coverageToJson(covered).dump() + R"(,"results":[)";
            bool first = true;
            for (const std::optional<std::string> &shard : result.outcome->results) {
                if (!shard || shard->size() <= 2) {
                    continue;
                }
                text += first ? "" : ",";
                text.append(*shard, 1, shard->size() - 2);
                first = false;
            }
            http_response response;
            response.body = std::move(text) + "]}";
            return response;
        }
        newerThan = record.snapshot;
        task = makeTask(query, newerThan);
        task.options.restarted = true;
        task.options.restartsLeft = MAX_RESTARTS - std::min(MAX_RESTARTS, restarts + 1);
        task.options.deadline = deadline - system_clock().now();
    }
}

query_task query_service::makeTask(const parsed_query &query, const snapshot_id &newerThan) const
{
    query_task task;
    task.service = query.service;
    task.version = query.version;
    task.request = query.request;
    task.nodeTag = m_nodeTag;
    task.query = query.query;
    const query_number number(const_cast<std::atomic<std::uint64_t> &>(m_lastQuery).fetch_add(1) + 1);
    const auto topology = m_topologies.find(query.service);
    planning_limits limits;
    limits.version = query.version;
    limits.domainsOut = &query.config->domainsOut;
    limits.newerThan = newerThan;
    limits.rotation = number.value();
    if (topology && *topology) {
        task.planned = planQuery((*topology)->servers, limits);
    }
    duration hedgeDelay = FALLBACK_HEDGE_DELAY;
    {
        const std::lock_guard lock(query.runtime->mutex);
        if (const auto estimate = query.runtime->latencies.estimate(latency_key{query.service, query.version}, MIN_LATENCY_SAMPLES)) {
            hedgeDelay = estimate->p95;
        }
    }
    task.options = makeQueryOptions(query.settings, number, query.callerDeadlineMs, hedgeDelay);
    task.newerSnapshotExists = [this, query](const snapshot_id &pinned) {
        const auto current = m_topologies.find(query.service);
        planning_limits newer;
        newer.version = query.version;
        newer.domainsOut = &query.config->domainsOut;
        newer.newerThan = pinned;
        return current && *current && !planQuery((*current)->servers, newer).empty();
    };
    return task;
}

std::shared_ptr<service_runtime> query_service::runtimeOf(const service_id &service)
{
    return m_runtimes.update(service, [](std::shared_ptr<service_runtime> &runtime) {
        if (!runtime) {
            runtime = std::make_shared<service_runtime>();
        }
        return runtime;
    });
}

} // namespace snipefall
