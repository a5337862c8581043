#include "tier/request_runner.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/logger.h"
#include "platform/caller_messages.h"
#include "platform/sub_answer_reader.h"
#include "policy/record_merge.h"
#include "policy/sub_answer_sample.h"
#include "tier/crash_controller.h"
#include "tier/loop_clock.h"
#include "tier/move_driver.h"
#include "tier/tier_blackboard.h"
#include "tier/tier_metrics.h"

namespace snipefall {

namespace {

/**
 * Sub-requests whose answers are no longer needed may run on for this time, because a new connection costs a server more than the rest of most answers; a
 * server's pause is shorter, too.
 */
constexpr duration LOSER_TIME = std::chrono::milliseconds(500);
/** Any path shows whether a server lives; this one is the usual path of health checks. */
constexpr char DEFAULT_HEALTH_PATH[] = "/health";
/** Backend servers have to be rid of the requests of a caller that left within half a second. */
constexpr duration CALLER_LEFT_TIME = std::chrono::milliseconds(200);

double milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

request_runner::request_runner(environment surroundings,
                               std::shared_ptr<http_exchange> exchange,
                               caller_request request,
                               request_fingerprint fingerprint,
                               std::shared_ptr<const route_matcher> routes,
                               const request_route &route,
                               std::vector<service_id> services,
                               const request_times &times)
    : m_environment(surroundings)
    , m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_fingerprint(fingerprint)
    , m_routes(std::move(routes))
    , m_route(route)
    , m_times(times)
    , m_writer(m_exchange->request())
    , m_parts(services.size())
    , m_execution(route, std::move(services), times, surroundings.board.servers, surroundings.board.budget, surroundings.board.latencies)
    , m_timer(surroundings.loop)
{
}

void request_runner::start(std::function<void()> onFinished)
{
    m_onFinished = std::move(onFinished);
    m_exchange->onClientLeft([self = shared_from_this()] { self->callerLeft(); });
    apply(m_execution.start(now()));
}

void request_runner::apply(const execution_step &step)
{
    if (m_finished) {
        return;
    }
    for (const std::size_t id : step.abandoned) {
        m_environment.client.limitTo(m_subRequests[id].call, duration::zero());
    }
    for (const sub_request_send &order : step.sends) {
        send(order);
    }
    if (step.result) {
        finish(*step.result);
        return;
    }
    armTimer(step.wakeAt);
}

void request_runner::send(const sub_request_send &order)
{
    const time_point at = now();
    sub_request item;
    item.server = order.server;
    item.sentAt = at;
    item.part = order.part;
    item.repeated = order.repeated;
    if (backend_health *health = m_environment.board.servers.health(order.server.id)) {
        health->sent(at);
    }
    client_call call;
    call.address = order.server.address;
    call.bytes = m_writer.write(order.server.id, m_times.deadline - at);
    call.newConnection = !m_route.idempotent;
    call.deadline = m_times.deadline;
    call.belongs = [id = m_request.id](const http_response_message &answer) { return belongsTo(answer, id); };
    const std::size_t id = order.id;
    item.call =
        m_environment.client.start(std::move(call), [self = shared_from_this(), id](client_result result) { self->subRequestEnded(id, std::move(result)); });
    m_subRequests.resize(std::max(m_subRequests.size(), id + 1));
    m_subRequests[id] = std::move(item);
}

void request_runner::subRequestEnded(std::size_t id, client_result result)
{
    sub_request &ended = m_subRequests[id];
    const time_point at = now();
    try_outcome outcome = readSubAnswer(result);
    if (m_route.isQuery() && outcome == try_outcome::answered && result.response.result_int() >= 300) {
        outcome = try_outcome::server_error; // A failure is no part of a query's answer, whoever signed it.
    }
    ended.outcome = outcome;
    const duration latency = at - ended.sentAt;
    const duration usual = m_environment.board.latencies.usual(m_route.name, latency);
    if (backend_health *health = m_environment.board.servers.health(ended.server.id)) {
        health->ended(ended.sentAt, at, outcome, usual > duration::zero() ? static_cast<double>(latency.count()) / static_cast<double>(usual.count()) : 1.0);
    }
    if (outcome == try_outcome::answered || outcome == try_outcome::timed_out) {
        m_environment.board.latencies.record(m_route.name, latency, at);
    }
    reportToMoves(ended, result.reused, latency, at);
    m_environment.metrics.subRequestEnded(toString(outcome), ended.repeated, latency);
    if (outcome == try_outcome::wrong_server) {
        m_environment.board.servers.noteReplaced(ended.server.id);
    }
    if (outcome == try_outcome::timed_out) {
        // Other connections to the server may have gone silent as well. A lost one says nothing of the others: a server that has too many resets new ones.
        m_environment.client.closeIdle(ended.server.address);
    }
    if (outcome != try_outcome::answered) {
        logInfo("sub_request.failed",
                {{"request", m_request.id.str()},
                 {"route", m_route.name},
                 {"part", std::to_string(ended.part)},
                 {"server", ended.server.id.str()},
                 {"address", ended.server.address},
                 {"outcome", toString(outcome)},
                 {"status", std::to_string(result.outcome == client_result::kind::answered ? result.response.result_int() : 0U)},
                 {"kept_connection", result.reused ? "yes" : "no"},
                 {"ms", fmt::format("{:.1f}", milliseconds(latency))},
                 {"after_end", m_finished ? "yes" : "no"}});
    }
    if (m_finished) {
        return;
    }
    ended.answer = std::move(result.response);
    apply(m_execution.subRequestEnded(id, outcome, at));
}

void request_runner::reportToMoves(const sub_request &ended, bool reused, duration latency, time_point at)
{
    const backend_entry *entry = m_environment.board.servers.find(ended.server.id);
    const bool reached = ended.outcome != try_outcome::not_run && ended.outcome != try_outcome::wrong_server && ended.outcome != try_outcome::unreachable;
    if (!entry || !reached || !m_environment.moves.watches(entry->service)) {
        return;
    }
    sub_answer_sample sample;
    sample.route = m_route.name;
    sample.failed = ended.outcome != try_outcome::answered;
    // The set-up of a connection counts to the latency of its first answer.
    sample.warm = reused && !m_environment.board.servers.isCold(ended.server.id, at);
    sample.latency = latency;
    sample.at = at;
    m_environment.moves.record(entry->service, entry->version, std::move(sample));
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
    m_exchange->respond(answerOf(result));
    limitSubRequests(LOSER_TIME);
    reportToCrashes(result);
    const bool partial = result.outcome == execution_result::kind::answered && result.missing > 0;
    logEnd(partial ? "partial" : toString(result.outcome), result.reason, result.missing);
    m_exchange.reset();
    m_onFinished();
}

http_response_message request_runner::answerOf(const execution_result &result) const
{
    switch (result.outcome) {
    case execution_result::kind::answered:
        break;
    case execution_result::kind::not_run:
        return ownAnswer(503, m_request.id, result.reason, result.retryAfter);
    case execution_result::kind::failed:
        return ownAnswer(502, m_request.id, result.reason, duration::zero());
    case execution_result::kind::timed_out:
        return ownAnswer(504, m_request.id, result.reason, duration::zero());
    }
    if (!m_route.isQuery()) {
        return forwardedAnswer(m_subRequests[result.subRequests.front()].answer);
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
    for (const sub_request &item : m_subRequests) {
        if (!item.outcome) {
            m_environment.client.limitTo(item.call, linger);
        }
    }
}

void request_runner::reportToCrashes(const execution_result &result)
{
    if (result.outcome == execution_result::kind::answered) {
        m_environment.crashes.answered(m_fingerprint);
        return;
    }
    std::vector<crash_controller::lost_server> lost;
    for (const sub_request &item : m_subRequests) {
        if (item.outcome == try_outcome::answered || item.outcome == try_outcome::server_error) {
            return;
        }
        if (item.outcome == try_outcome::lost) {
            const backend_entry *entry = m_environment.board.servers.find(item.server.id);
            const auto rules = m_routes->configuration().services.find(entry ? entry->service : service_id());
            const bool known = rules != m_routes->configuration().services.end() && !rules->second.healthPath.empty();
            lost.push_back({item.server.id, item.server.address, known ? rules->second.healthPath : DEFAULT_HEALTH_PATH});
        }
    }
    m_environment.crashes.unanswered(m_fingerprint, m_request.id, lost);
}

void request_runner::callerLeft()
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_timer.cancel();
    if (m_route.idempotent) {
        limitSubRequests(CALLER_LEFT_TIME);
    }
    logEnd("caller_left", "", m_parts);
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

void request_runner::logEnd(std::string_view outcome, const std::string &reason, std::size_t missing)
{
    const duration latency = now() - m_times.received;
    const auto repeated = std::count_if(m_subRequests.begin(), m_subRequests.end(), [](const sub_request &item) { return item.repeated; });
    std::string ends;
    for (int kind = 0; kind <= static_cast<int>(try_outcome::timed_out); ++kind) {
        const auto count = std::count_if(
            m_subRequests.begin(), m_subRequests.end(), [kind](const sub_request &item) { return item.outcome && static_cast<int>(*item.outcome) == kind; });
        if (count > 0) {
            ends += fmt::format("{}{}:{}", ends.empty() ? "" : ",", toString(static_cast<try_outcome>(kind)), count);
        }
    }
    m_environment.metrics.requestEnded(m_route.name, std::string(outcome), latency);
    logInfo("request.ended",
            {{"request", m_request.id.str()},
             {"route", m_route.name},
             {"config", std::to_string(m_routes->configuration().version.value())},
             {"outcome", std::string(outcome)},
             {"reason", reason.empty() ? "-" : reason},
             {"parts", std::to_string(m_parts)},
             {"missing", std::to_string(missing)},
             {"sent", std::to_string(m_subRequests.size())},
             {"repeated", std::to_string(repeated)},
             {"ends", ends.empty() ? "-" : ends},
             {"left_ms", fmt::format("{:.0f}", milliseconds(m_times.deadline - m_times.received))},
             {"ms", fmt::format("{:.1f}", milliseconds(latency))}});
}

} // namespace snipefall
