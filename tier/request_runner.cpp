#include "tier/request_runner.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/logger.h"
#include "platform/caller_messages.h"
#include "platform/sub_answer_reader.h"
#include "policy/organisations/caller_authentication.h"
#include "policy/record_merge.h"
#include "policy/sub_request_sample.h"
#include "tier/loop_clock.h"
#include "tier/move_driver.h"
#include "tier/server_announcements.h"
#include "tier/tier_blackboard.h"
#include "tier/tier_metrics.h"
#include "tier/usage_reporter.h"

namespace snipefall {

namespace {

/**
 * Sub-requests whose answers are no longer needed are cancelled only after this time. Cancelling closes the connection, and opening a new one costs a server
 * more than finishing most answers does. The time is also longer than the usual pause of a server.
 */
constexpr duration UNNEEDED_SUB_REQUEST_CANCEL_DELAY = std::chrono::milliseconds(500);
/** Used for services without a configured health path. An answer on any path shows that the server process runs; this is the customary path. */
constexpr char DEFAULT_HEALTH_PATH[] = "/health";
/** Retry-After of a request whose caller has to be authenticated anew. */
constexpr duration KEYS_RETRY_AFTER = std::chrono::milliseconds(100);
/** Sub-requests are cancelled this long after their caller disconnected; backend servers must have stopped working on them within half a second. */
constexpr duration DISCONNECT_CANCEL_DELAY = std::chrono::milliseconds(200);

double milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

void logLateAnswer(const request_id &awaited, const backend_server_id &server, const http_response_message &answer)
{
    logInfo("sub_request.late_answer",
            {{"request", awaited.str()}, {"server", server.str()}, {"answers", requestIdOf(answer)}, {"status", std::to_string(answer.result_int())}});
}

} // namespace

request_runner::request_runner(runner_dependencies dependencies,
                               std::shared_ptr<http_exchange> exchange,
                               caller_request request,
                               request_fingerprint fingerprint,
                               std::shared_ptr<const route_matcher> routes,
                               const request_route &route,
                               std::vector<service_id> services,
                               const request_times &times,
                               request_execution::run_mode mode)
    : m_dependencies(dependencies)
    , m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_fingerprint(fingerprint)
    , m_routes(std::move(routes))
    , m_route(route)
    , m_times(times)
    , m_mode(mode)
    , m_writer(m_exchange->request(), {m_routes->configuration().organisations.requiresKeys(), m_request.organisation})
    , m_partCount(services.size())
    , m_execution(route,
                  std::move(services),
                  times,
                  dependencies.board.servers,
                  dependencies.board.budget,
                  dependencies.board.returns,
                  dependencies.board.latencies,
                  dependencies.board.admission,
                  mode)
    , m_timer(dependencies.loop)
{
}

void request_runner::start(std::function<void()> onFinished)
{
    m_onFinished = std::move(onFinished);
    m_exchange->onClientDisconnect([self = shared_from_this()] { self->callerLeft(); });
    apply(m_execution.start(now()));
}

void request_runner::apply(const execution_step &step)
{
    if (m_finished) {
        return;
    }
    if (!step.sends.empty() && m_subRequests.empty() && refusedByKeysInForce()) {
        return;
    }
    for (const std::size_t id : step.abandoned) {
        m_dependencies.client.shortenDeadline(m_subRequests[id].call, duration::zero());
    }
    for (const sub_request_send &planned : step.sends) {
        send(planned);
    }
    if (step.result) {
        finish(*step.result);
        return;
    }
    armTimer(step.wakeAt);
}

bool request_runner::refusedByKeysInForce()
{
    const organisation_directory &organisations = m_dependencies.board.routes->configuration().organisations;
    const bool isUnchanged = m_dependencies.board.routes == m_routes;
    const caller_authentication caller = authenticateCaller(organisations, m_route.isPublic, m_request.key, m_dependencies.board.credentialsNow());
    if (caller.outcome == caller_authentication::result::unknown_key) {
        refuse(401, "unknown_key", duration::zero());
        return true;
    }
    const bool sameOwner = isUnchanged || (caller.owner ? caller.owner->id : organisation_id()) == m_request.organisation;
    const bool sameStatement = isUnchanged || organisations.requiresKeys() == m_routes->configuration().organisations.requiresKeys();
    if (caller.outcome == caller_authentication::result::undecided || !sameOwner || !sameStatement) {
        refuse(503, "keys_changed", KEYS_RETRY_AFTER);
        return true;
    }
    return false;
}

void request_runner::refuse(unsigned status, const std::string &reason, duration retryAfter)
{
    m_finished = true;
    m_timer.cancel();
    m_exchange->respond(nodeAnswer(status, m_request.id, reason, retryAfter));
    if (m_mode == request_execution::run_mode::trial) {
        endTrial();
    }
    logRequestEnded(reason, "", m_partCount);
    m_exchange.reset();
    m_onFinished();
}

void request_runner::send(const sub_request_send &planned)
{
    const time_point at = now();
    sub_request subRequest;
    subRequest.server = planned.server;
    subRequest.sentAt = at;
    subRequest.part = planned.part;
    subRequest.repeated = planned.repeated;
    if (backend_health *health = m_dependencies.board.servers.health(planned.server.id)) {
        health->sent(at);
    }
    client_call call;
    call.address = planned.server.address;
    call.bytes = m_writer.write(planned.server.id, m_times.deadline - at);
    call.body = std::shared_ptr<const std::string>(m_exchange, &m_exchange->request().body());
    // A server may close a kept connection before it reads a request; in a trial, a lost connection has to be evidence.
    call.newConnection = !m_route.idempotent || m_mode == request_execution::run_mode::trial;
    // All sub-requests have the id of the caller's request, so a connection carries only one of them: the address may have passed to another shard's server,
    // whose late answer would be accepted.
    call.avoidedConnections = m_usedConnections;
    call.deadline = m_times.deadline;
    // A late answer to an earlier request is not accepted, but what the server states in it holds all the same.
    call.matchResponse = [&board = m_dependencies.board, server = planned.server.id, id = m_request.id, at](const http_response_message &answer) {
        const response_match match = matchAnswer(answer, id);
        if (match == response_match::other_call) {
            logLateAnswer(id, server, answer);
        }
        noteServerAnnouncement(board, server, answer, match == response_match::other_call ? time_point() : at);
        return match;
    };
    if (m_mode == request_execution::run_mode::trial) {
        const backend_entry *sibling = m_dependencies.board.servers.sibling(planned.server.id, at);
        m_trialSibling = sibling ? std::optional(lostServer(sibling->id, sibling->address)) : std::nullopt;
    }
    if (m_subRequests.empty()) {
        m_usageWindow = m_dependencies.usage.began(m_request.organisation);
    }
    const std::size_t id = planned.id;
    subRequest.call =
        m_dependencies.client.start(std::move(call), [self = shared_from_this(), id](client_result result) { self->subRequestEnded(id, std::move(result)); });
    m_subRequests.resize(std::max(m_subRequests.size(), id + 1));
    m_subRequests[id] = std::move(subRequest);
}

void request_runner::subRequestEnded(std::size_t id, client_result result)
{
    sub_request &ended = m_subRequests[id];
    m_usedConnections.push_back(result.connection);
    const time_point at = now();
    attempt_outcome outcome = classifySubAnswer(result);
    if (m_route.isQuery() && outcome == attempt_outcome::answered && result.response.result_int() >= 300) {
        outcome = attempt_outcome::server_error; // Error and redirect responses never become part of a query's answer, even when the server signed them.
    }
    ended.outcome = outcome;
    const duration latency = at - ended.sentAt;
    const duration medianLatency = m_dependencies.board.latencies.medianLatency(m_route.name, latency);
    if (backend_health *health = m_dependencies.board.servers.health(ended.server.id)) {
        health->ended(ended.sentAt,
                      at,
                      outcome,
                      medianLatency > duration::zero() ? static_cast<double>(latency.count()) / static_cast<double>(medianLatency.count()) : 1.0);
    }
    if (outcome == attempt_outcome::answered || outcome == attempt_outcome::timed_out) {
        m_dependencies.board.latencies.record(m_route.name, latency, at);
    }
    recordMoveSample(ended, result.reused, latency, at);
    m_dependencies.metrics.subRequestEnded(toString(outcome), ended.repeated, latency);
    if (outcome == attempt_outcome::wrong_server) {
        m_dependencies.board.servers.noteAddressReused(ended.server.id);
    }
    if (outcome == attempt_outcome::timed_out) {
        // After a time-out, idle connections to the same server may be dead too, so they are closed. A reset connection is no such sign: a server with too many
        // connections resets new ones while the older ones keep working.
        m_dependencies.client.closeIdle(ended.server.address);
    }
    if (outcome != attempt_outcome::answered) {
        logInfo("sub_request.failed",
                {{"request", m_request.id.str()},
                 {"route", m_route.name},
                 {"part", std::to_string(ended.part)},
                 {"server", ended.server.id.str()},
                 {"address", ended.server.address},
                 {"outcome", toString(outcome)},
                 {"status", std::to_string(result.outcome == client_result::kind::answered ? result.response.result_int() : 0U)},
                 {"kept_connection", result.reused ? "yes" : "no"},
                 {"connection", std::to_string(static_cast<std::uint64_t>(result.connection))},
                 {"ms", fmt::format("{:.1f}", milliseconds(latency))},
                 {"after_end", m_finished ? "yes" : "no"}});
    }
    if (m_finished) {
        return;
    }
    ended.answer = std::move(result.response);
    ended.memory = std::move(result.memory);
    apply(m_execution.subRequestEnded(id, outcome, at));
}

void request_runner::recordMoveSample(const sub_request &ended, bool reused, duration latency, time_point at)
{
    const backend_entry *entry = m_dependencies.board.servers.find(ended.server.id);
    const bool reached =
        ended.outcome != attempt_outcome::not_run && ended.outcome != attempt_outcome::wrong_server && ended.outcome != attempt_outcome::unreachable;
    if (!entry || !reached || !m_dependencies.moves.hasMove(entry->service)) {
        return;
    }
    sub_request_sample sample;
    sample.route = m_route.name;
    sample.failed = ended.outcome != attempt_outcome::answered;
    sample.warm = !m_dependencies.board.servers.isCold(ended.server.id, at);
    sample.newConnection = !reused;
    sample.latency = latency;
    sample.at = at;
    m_dependencies.moves.record(entry->service, entry->version, std::move(sample));
}

void request_runner::armTimer(time_point at)
{
    m_timer.expires_at(at);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &cancelled) {
        if (!cancelled && !self->m_finished) {
            self->apply(self->m_execution.tick(now()));
        }
    });
}

void request_runner::finish(const execution_result &result)
{
    m_finished = true;
    m_timer.cancel();
    http_response_message answer = takeAnswer(result);
    dropAnswers();
    m_exchange->respond(std::move(answer));
    limitSubRequests(UNNEEDED_SUB_REQUEST_CANCEL_DELAY);
    reportToCrashController(result);
    settleUsage();
    const bool partial = result.outcome == execution_result::kind::answered && result.missing > 0;
    logRequestEnded(partial ? "partial" : toString(result.outcome), result.reason, result.missing);
    m_exchange.reset();
    m_onFinished();
}

void request_runner::dropAnswers()
{
    for (sub_request &subRequest : m_subRequests) {
        if (!subRequest.outcome) {
            m_dependencies.client.discardBody(subRequest.call);
            continue;
        }
        std::string().swap(subRequest.answer.body());
        subRequest.memory.reset();
    }
}

http_response_message request_runner::takeAnswer(const execution_result &result)
{
    switch (result.outcome) {
    case execution_result::kind::answered:
        break;
    case execution_result::kind::not_run:
        return nodeAnswer(503, m_request.id, result.reason, result.retryAfter);
    case execution_result::kind::failed:
        return nodeAnswer(502, m_request.id, result.reason, duration::zero());
    case execution_result::kind::timed_out:
        return nodeAnswer(504, m_request.id, result.reason, duration::zero());
    }
    if (!m_route.isQuery()) {
        return forwardedAnswer(std::move(m_subRequests[result.subRequests.front()].answer));
    }
    std::vector<std::string> signatures;
    std::vector<std::string_view> bodies;
    for (const std::size_t id : result.subRequests) {
        signatures.push_back(signatureOf(m_subRequests[id].answer));
        bodies.emplace_back(m_subRequests[id].answer.body());
    }
    return queryAnswer(m_request.id, signatures, result.missing, greatestRecords(bodies, m_route.topRecords));
}

void request_runner::limitSubRequests(duration linger)
{
    for (const sub_request &subRequest : m_subRequests) {
        if (!subRequest.outcome) {
            m_dependencies.client.shortenDeadline(subRequest.call, linger);
        }
    }
}

void request_runner::settleUsage()
{
    const auto mayHaveBegun = [](const sub_request &subRequest) { return !subRequest.outcome || mayHaveRun(*subRequest.outcome); };
    if (m_usageWindow && std::none_of(m_subRequests.begin(), m_subRequests.end(), mayHaveBegun)) {
        m_dependencies.usage.notRun(*m_usageWindow, m_request.organisation);
    }
}

void request_runner::reportToCrashController(const execution_result &result)
{
    if (m_mode == request_execution::run_mode::trial) {
        endTrial();
        return;
    }
    if (result.outcome == execution_result::kind::answered) {
        m_dependencies.crashes.answered(m_fingerprint);
        return;
    }
    std::vector<crash_controller::lost_server> lost;
    for (const sub_request &subRequest : m_subRequests) {
        if (subRequest.outcome == attempt_outcome::answered || subRequest.outcome == attempt_outcome::server_error) {
            return;
        }
        if (subRequest.outcome == attempt_outcome::lost) {
            lost.push_back(lostServer(subRequest.server.id, subRequest.server.address));
        }
    }
    m_dependencies.crashes.unanswered(m_fingerprint, m_request.id, lost);
}

crash_controller::lost_server request_runner::lostServer(const backend_server_id &id, const std::string &address) const
{
    const backend_entry *entry = m_dependencies.board.servers.find(id);
    const auto rules = m_routes->configuration().services.find(entry ? entry->service : service_id());
    const bool hasHealthPath = rules != m_routes->configuration().services.end() && !rules->second.healthPath.empty();
    return {id, address, hasHealthPath ? rules->second.healthPath : DEFAULT_HEALTH_PATH};
}

void request_runner::endTrial()
{
    crash_controller::trial_end end;
    for (const sub_request &subRequest : m_subRequests) {
        if (subRequest.outcome == attempt_outcome::answered || subRequest.outcome == attempt_outcome::server_error) {
            end.observed.answered = true;
        } else if (!subRequest.outcome || mayHaveRun(*subRequest.outcome)) {
            end.observed.mayHaveRun = true;
            end.observed.connectionLost = end.observed.connectionLost || subRequest.outcome == attempt_outcome::lost;
            end.server = lostServer(subRequest.server.id, subRequest.server.address);
        }
    }
    end.sibling = m_trialSibling;
    m_dependencies.crashes.endTrial(m_fingerprint, m_request.id, end);
}

void request_runner::callerLeft()
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_timer.cancel();
    dropAnswers();
    if (m_route.idempotent) {
        limitSubRequests(DISCONNECT_CANCEL_DELAY);
    }
    if (m_mode == request_execution::run_mode::trial) {
        endTrial();
    }
    settleUsage();
    logRequestEnded("caller_left", "", m_partCount);
    m_exchange.reset();
    m_onFinished();
}

void request_runner::endNow()
{
    if (m_finished) {
        return;
    }
    execution_result result;
    result.outcome = m_subRequests.empty() ? execution_result::kind::not_run : execution_result::kind::failed;
    result.reason = "node_stopping";
    finish(result);
}

void request_runner::logRequestEnded(std::string_view outcome, const std::string &reason, std::size_t missing)
{
    const duration latency = now() - m_times.received;
    const auto repeated = std::count_if(m_subRequests.begin(), m_subRequests.end(), [](const sub_request &subRequest) { return subRequest.repeated; });
    std::string outcomeCounts;
    for (int kind = 0; kind <= static_cast<int>(attempt_outcome::timed_out); ++kind) {
        const auto count = std::count_if(m_subRequests.begin(), m_subRequests.end(), [kind](const sub_request &subRequest) {
            return subRequest.outcome && static_cast<int>(*subRequest.outcome) == kind;
        });
        if (count > 0) {
            outcomeCounts += fmt::format("{}{}:{}", outcomeCounts.empty() ? "" : ",", toString(static_cast<attempt_outcome>(kind)), count);
        }
    }
    const bool refused = outcome == toString(execution_result::kind::not_run) && !reason.empty();
    m_dependencies.metrics.requestEnded(m_route.name, refused ? reason : std::string(outcome), latency);
    m_dependencies.metrics.organisationRequestEnded(m_request.organisation, std::string(outcome));
    logInfo("request.ended",
            {{"request", m_request.id.str()},
             {"route", m_route.name},
             {"config", std::to_string(m_routes->configuration().version.value())},
             {"outcome", std::string(outcome)},
             {"reason", reason.empty() ? "-" : reason},
             {"parts", std::to_string(m_partCount)},
             {"missing", std::to_string(missing)},
             {"sent", std::to_string(m_subRequests.size())},
             {"repeated", std::to_string(repeated)},
             {"ends", outcomeCounts.empty() ? "-" : outcomeCounts},
             {"left_ms", fmt::format("{:.0f}", milliseconds(m_times.deadline - m_times.received))},
             {"ms", fmt::format("{:.1f}", milliseconds(latency))}});
}

} // namespace snipefall
