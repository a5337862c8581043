#include "node/execute_service.h"

#include <set>
#include <thread>

#include "core/clock.h"
#include "core/configuration_replica.h"
#include "core/logger.h"
#include "http/http_call.h"
#include "node/api_responses.h"
#include "node/crash_detector.h"
#include "node/move_manager.h"
#include "node/quarantine_controller.h"
#include "node/query_environment.h"
#include "node/respond_and_record.h"
#include "node/sub_request_dispatcher.h"

namespace snipefall {

namespace {

constexpr int MAX_SERVERS_TRIED = 3;
constexpr std::chrono::milliseconds SLOT_RETRY_INTERVAL{2};
constexpr long CONNECT_TIMEOUT_MS = 500;

} // namespace

struct execute_service::execution
{
    explicit execution(answer_record &accounted)
        : record(accounted)
    {
    }

    service_id service;
    request_id request;
    service_settings settings;
    version_id version;
    std::string body;
    request_fingerprint fingerprint;
    std::shared_ptr<const configuration> config;
    time_point deadline;
    answer_record &record;
};

struct execute_service::held_slot
{
    backend_server server;
    std::uint64_t slot = 0;
};

execute_service::execute_service(const configuration_replica &configurations,
                                 service_topology_table &topologies,
                                 query_environment &environment,
                                 account_keeper &accounts,
                                 claim_calls claims)
    : m_configurations(configurations)
    , m_topologies(topologies)
    , m_environment(environment)
    , m_accounts(accounts)
    , m_claims(std::move(claims))
{
}

http_response execute_service::handle(const service_id &service, const http_request &request)
{
    return respondAndRecord(m_accounts, service, request, [&](answer_record &record) {
        execution run(record);
        run.service = service;
        run.request = record.request;
        return answer(run, request);
    });
}

http_response execute_service::answer(execution &run, const http_request &request)
{
    run.config = m_configurations.current();
    const auto found = run.config->services.find(run.service);
    if (found == run.config->services.end()) {
        return errorResponse(404, error_code::not_found, "no service " + run.service.str(), run_state::not_run);
    }
    run.settings = found->second;
    if (!run.settings.open) {
        return errorResponse(503, error_code::unavailable, "service " + run.service.str() + " is closed", run_state::not_run);
    }
    const outcome<json> body = parseJson(request.body);
    if (!body || !body->is_object() || !body->contains("body")) {
        return errorResponse(400, error_code::invalid_argument, "the body must be a JSON object with the member \"body\"", run_state::not_run);
    }
    run.body = (*body)["body"].dump();
    run.fingerprint = fingerprintOf({run.service.str(), "execute", run.body});
    if (m_environment.quarantine.crashStatus(run.fingerprint) == request_crash_status::quarantined) {
        return errorResponse(422, error_code::quarantined, "requests like this one crashed backend servers", run_state::not_run);
    }
    run.version = m_environment.moveManager.versionFor(run.service, run.settings.version, run.request.str());
    run.record.version = run.version;
    run.deadline = system_clock().now() + std::chrono::milliseconds(run.settings.deadlineMs);
    // The slot is acquired before the claim, so that a claimed request never waits for capacity while the claim's state is "running".
    std::optional<held_slot> slot = acquireSlot(run, {});
    if (!slot) {
        return errorResponse(429, error_code::overloaded, "no backend server had a free slot in time", run_state::not_run);
    }
    const claim_result claim = m_claims.claim(run.service, run.request);
    if (claim.status == claim_result::kind::claimed && system_clock().now() >= run.deadline) {
        // The deadline has passed: the request would time out at once, and the backend server could still run it without this node learning the result.
        m_environment.dispatcher.release(slot->server.id, slot->slot, {server_answer_kind::cancelled, {}, {}});
        m_claims.record(run.service, run.request, claim.fencingToken, claim_state::not_run, "");
        return errorResponse(
            504, error_code::deadline_exceeded, "the platform answered the claim after the deadline; send it with a new id", run_state::not_run);
    }
    if (claim.status == claim_result::kind::claimed) {
        return runClaimed(run, claim.fencingToken, std::move(*slot));
    }
    m_environment.dispatcher.release(slot->server.id, slot->slot, {server_answer_kind::cancelled, {}, {}});
    if (claim.status == claim_result::kind::already_claimed) {
        return answerRepeat(run, *claim.entry);
    }
    return errorResponse(httpStatusOf(claim.reason.code), claim.reason.code, claim.reason.message, run_state::not_run);
}

http_response execute_service::answerRepeat(execution &run, const claim_entry &entry)
{
    switch (entry.state) {
    case claim_state::ran: {
        run.record.outcome = answer_outcome::executed;
        const outcome<json> result = parseJson(entry.resultBody.value_or(std::string()));
        return jsonResponse({{"service", run.service.str()},
                             {"request_id", run.request.str()},
                             {"ran", "ran"},
                             {"repeated", true},
                             {"result", result ? *result : json()},
                             {"result_sha256", entry.resultHash}});
    }
    case claim_state::not_run:
        return errorResponse(503, error_code::unavailable, "a node claimed this request and did not run it; send it with a new id", run_state::not_run);
    case claim_state::running:
    case claim_state::unknown:
        break;
    }
    run.record.outcome = answer_outcome::unknown;
    return errorResponse(503, error_code::unknown_result, "the request was claimed by node " + entry.node.str() + " and may have run", run_state::unknown);
}

http_response execute_service::runClaimed(execution &run, object_version token, held_slot slot)
{
    std::set<backend_server_id> triedServers;
    http_call call;
    call.method = "POST";
    call.target = "/execute";
    call.connectTimeoutMs = CONNECT_TIMEOUT_MS;
    call.headers = {{"Content-Type", "application/json"}, {"Request-Id", run.request.str()}};
    call.body = R"({"request_id":)" + json(run.request.str()).dump() + R"(,"fencing_token":)" + std::to_string(token.value()) + R"(,"body":)" + run.body + "}";
    for (;;) {
        call.address = slot.server.address;
        call.timeoutMs = std::max<long>(1, std::chrono::duration_cast<std::chrono::milliseconds>(run.deadline - system_clock().now()).count());
        m_environment.quarantine.started(run.fingerprint, slot.server.id);
        const time_point sent = system_clock().now();
        const http_call_result result = executeHttpCall(call);
        const bool ran = result.status == transport_status::ok && result.response.status == 200;
        const bool refused = result.status == transport_status::ok && (result.response.status == 429 || result.response.status == 503);
        m_environment.dispatcher.release(slot.server.id,
                                         slot.slot,
                                         {ran           ? server_answer_kind::success
                                              : refused ? server_answer_kind::shed
                                                        : server_answer_kind::failed,
                                          system_clock().now() - sent,
                                          duration(0)});
        if (result.status == transport_status::closed) {
            m_environment.crashDetector.connectionClosed(slot.server.id, run.fingerprint);
        } else {
            m_environment.quarantine.ended(run.fingerprint, slot.server.id, ran);
        }
        if (ran) {
            const outcome<json> body = parseJson(result.response.body);
            const json value = body ? (body->is_object() && body->contains("result") ? (*body)["result"] : *body) : json();
            m_claims.record(run.service, run.request, token, claim_state::ran, value.dump());
            run.record.outcome = answer_outcome::executed;
            return jsonResponse({{"service", run.service.str()},
                                 {"version", run.version.str()},
                                 {"request_id", run.request.str()},
                                 {"ran", "ran"},
                                 {"repeated", false},
                                 {"result", value}});
        }
        const bool notRun = refused || !result.mayHaveReachedServer;
        if (!notRun) {
            m_claims.record(run.service, run.request, token, claim_state::unknown, "");
            run.record.outcome = answer_outcome::unknown;
            logWarning("execute.unknown", {{"request", run.request.str()}, {"server", slot.server.id.str()}, {"reason", result.message}});
            return errorResponse(503, error_code::unknown_result, "the backend server gave no answer; the request may have run", run_state::unknown);
        }
        triedServers.insert(slot.server.id);
        std::optional<held_slot> next = triedServers.size() < MAX_SERVERS_TRIED ? acquireSlot(run, triedServers) : std::nullopt;
        if (!next) {
            m_claims.record(run.service, run.request, token, claim_state::not_run, "");
            return errorResponse(503, error_code::unavailable, "no backend server took the request; send it with a new id", run_state::not_run);
        }
        slot = std::move(*next);
    }
}

std::optional<execute_service::held_slot> execute_service::acquireSlot(const execution &run, const std::set<backend_server_id> &excluded)
{
    const bool suspected = m_environment.quarantine.crashStatus(run.fingerprint) == request_crash_status::suspected;
    do {
        const auto topology = m_topologies.find(run.service);
        std::vector<backend_server> usable;
        if (topology && *topology) {
            for (const backend_server &server : (*topology)->servers) {
                const bool domainExcluded = run.config->excludedDomains.count(server.domain) > 0;
                if (!server.leaving && !domainExcluded && server.version == run.version && excluded.count(server.id) == 0) {
                    usable.push_back(server);
                }
            }
        }
        // A request that is suspected of a crash is never sent to the last usable server.
        if (usable.empty() || (suspected && usable.size() < 2)) {
            return std::nullopt;
        }
        const std::size_t first = fingerprintOf({run.service.str(), "rotation", run.request.str()}).value() % usable.size();
        for (std::size_t i = 0; i < usable.size(); ++i) {
            const backend_server &server = usable[(first + i) % usable.size()];
            if (const std::optional<std::uint64_t> slot = m_environment.dispatcher.tryAcquire(run.service, server.id)) {
                return held_slot{server, *slot};
            }
        }
        std::this_thread::sleep_for(SLOT_RETRY_INTERVAL);
    } while (system_clock().now() < run.deadline);
    return std::nullopt;
}

} // namespace snipefall
