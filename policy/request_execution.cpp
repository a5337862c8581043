#include "policy/request_execution.h"

#include <algorithm>

#include "policy/query_admission.h"
#include "policy/return_schedule.h"
#include "policy/route_latency_tracker.h"
#include "policy/shared_retry_budget.h"

namespace snipefall {

namespace {

/** Attempts per part; bounds the load that a request causes while none of its servers is healthy. */
constexpr std::size_t MAX_ATTEMPTS = 5;
/** Backoff before the third attempt, doubled for each further one, because the servers need time to recover. The second attempt is sent at once. */
constexpr duration FAILURE_BACKOFF = std::chrono::milliseconds(10);
/** Until latencies have been measured, the median is assumed to be the target latency divided by this, and a hedge is sent after twice that time. */
constexpr int DEFAULT_LATENCY_DIVISOR = 6;
/** A hedge is sent no later than after the target latency divided by this, so that its answer can still be in time. */
constexpr int MAX_HEDGE_DELAY_DIVISOR = 2;
constexpr duration MIN_REQUEST_HEDGE_DELAY = std::chrono::milliseconds(2);
/** Backoff after a server refused an attempt, doubled with each refusal. */
constexpr duration REFUSAL_BACKOFF = std::chrono::milliseconds(10);
/** Delay before a server is searched for again while none can be chosen. */
constexpr duration NO_SERVER_RETRY_DELAY = std::chrono::milliseconds(25);
/** An attempt without an answer for this many hedge delays times out; its connection or server is then assumed dead. */
constexpr int ATTEMPT_TIMEOUT_HEDGE_DELAYS = 8;
constexpr duration MIN_ATTEMPT_TIMEOUT = std::chrono::milliseconds(300);
/** A query that reaches its minimum coverage only after its target waits for its last shards for the target latency divided by this. */
constexpr int EXTRA_WAIT_DIVISOR = 2;
/** Retry-After while it isn't known when servers become available; a quarter of the target latency is used instead if that is shorter. */
constexpr duration RETRY_AFTER = std::chrono::milliseconds(100);
/** Tolerance for rounding errors when a share of answered parts is compared with the minimum coverage. */
constexpr double SHARE_TOLERANCE = 1e-9;

} // namespace

request_execution::request_execution(const request_route &route,
                                     std::vector<service_id> services,
                                     const request_times &times,
                                     backend_table &servers,
                                     shared_retry_budget &budget,
                                     return_schedule &returns,
                                     const route_latency_tracker &latencies,
                                     query_admission &admission,
                                     run_mode mode)
    : m_route(route)
    , m_times(times)
    , m_servers(servers)
    , m_budget(budget)
    , m_returns(returns)
    , m_admission(admission)
    , m_mode(mode)
{
    const duration defaultLatency = route.targetLatency / DEFAULT_LATENCY_DIVISOR;
    m_medianLatency = latencies.medianLatency(route.name, defaultLatency);
    const duration measuredDelay = latencies.hedgeDelay(route.name, 2 * defaultLatency);
    m_hedgeDelay = std::max(std::min(measuredDelay, route.targetLatency / MAX_HEDGE_DELAY_DIVISOR), MIN_REQUEST_HEDGE_DELAY);
    for (service_id &service : services) {
        part_state part;
        part.service = std::move(service);
        m_parts.push_back(std::move(part));
    }
}

execution_step request_execution::start(time_point now)
{
    std::size_t available = 0;
    std::size_t unreachable = 0;
    for (const part_state &part : m_parts) {
        m_budget.countRequest(part.service, now);
        const time_point at = m_servers.reachableAt(part.service, now);
        available += at <= latestSend(now) ? 1 : 0;
        unreachable += at == time_point::max() ? 1 : 0;
    }
    if (!isSufficient(available)) {
        // Fails immediately: another node may be able to reach the servers that this one can't, and servers that want no requests now may take them later.
        execution_step step;
        finishNotRun(isSufficient(m_parts.size() - unreachable) ? "servers_unavailable" : "servers_unreachable", retryAfter(now), step);
        return step;
    }
    if (m_route.isQuery() && !m_admission.admit(m_route, now)) {
        execution_step step;
        finishNotRun("overloaded", m_admission.retryAfter(m_route, m_times, now), step);
        return step;
    }
    return advance(now);
}

execution_step request_execution::subRequestEnded(std::size_t id, attempt_outcome outcome, time_point now)
{
    attempt &ended = m_attempts[id];
    part_state &part = m_parts[ended.part];
    if (ended.ended) {
        return {{}, {}, {}, m_wakeAt};
    }
    ended.ended = true;
    ended.outcome = outcome;
    if (!ended.abandoned) {
        --part.inFlight;
    }
    part.mayHaveRun = part.mayHaveRun || mayHaveRun(outcome);
    part.refusals += outcome == attempt_outcome::not_run ? 1 : 0;
    if (outcome == attempt_outcome::answered && part.answer == NONE) {
        part.answer = id;
    }
    if (outcome == attempt_outcome::server_error) {
        part.serverError = id;
    }
    m_anyAnswer = m_anyAnswer || outcome == attempt_outcome::answered || outcome == attempt_outcome::server_error;
    if (outcome == attempt_outcome::lost) {
        m_anyConnectionLost = true;
        m_retryConnectionLost = m_retryConnectionLost || part.attempts.front() != id;
    }
    if (!m_route.idempotent && mayHaveRun(outcome)) {
        part.noFurtherAttempts = true;
    }
    if (m_mode == run_mode::trial && !m_anyAnswer && mayHaveRun(outcome)) {
        for (part_state &untried : m_parts) {
            untried.noFurtherAttempts = true;
        }
    }
    if (outcome == attempt_outcome::not_run) {
        part.nextAttemptAt = now + REFUSAL_BACKOFF * (1U << std::min(part.refusals, 5U)) / 2;
    } else if (outcome != attempt_outcome::answered && part.attempts.size() >= 2) {
        part.nextAttemptAt = now + FAILURE_BACKOFF * (1U << (part.attempts.size() - 2));
    }
    return advance(now);
}

std::vector<std::size_t> request_execution::inFlight() const
{
    std::vector<std::size_t> ids;
    for (std::size_t id = 0; id < m_attempts.size(); ++id) {
        if (!m_attempts[id].ended) {
            ids.push_back(id);
        }
    }
    return ids;
}

execution_step request_execution::advance(time_point now)
{
    execution_step step;
    if (m_finished) {
        return step;
    }
    m_wakeAt = m_times.end;
    if (now < m_times.target) {
        m_wakeAt = std::min(m_wakeAt, m_times.target);
    }
    finishIfDue(now, step);
    if (m_finished) {
        return step;
    }
    for (std::size_t i = 0; i < m_parts.size(); ++i) {
        if (m_parts[i].answer == NONE && !m_parts[i].noFurtherAttempts) {
            advancePart(i, now, step);
        }
    }
    if (step.sends.empty()) {
        finishIfDue(now, step);
    }
    step.wakeAt = m_wakeAt;
    return step;
}

void request_execution::advancePart(std::size_t index, time_point now, execution_step &step)
{
    if (waitsForTrial()) {
        return;
    }
    part_state &part = m_parts[index];
    abandonTimedOutAttempts(part, now, step);
    if (part.inFlight == 0) {
        if (now < part.nextAttemptAt) {
            m_wakeAt = std::min(m_wakeAt, part.nextAttemptAt);
        } else if (part.attempts.empty()) {
            sendFirst(index, now, step);
        } else {
            sendRetry(index, now, step);
        }
        return;
    }
    if (m_route.idempotent && part.inFlight == 1 && part.attempts.size() < MAX_ATTEMPTS) {
        sendHedge(index, now, step);
    }
}

void request_execution::abandonTimedOutAttempts(part_state &part, time_point now, execution_step &step)
{
    if (!m_route.idempotent) {
        return;
    }
    for (const std::size_t id : part.attempts) {
        attempt &waiting = m_attempts[id];
        if (waiting.ended || waiting.abandoned) {
            continue;
        }
        const time_point timeoutAt = waiting.sentAt + attemptTimeout();
        if (now < timeoutAt) {
            m_wakeAt = std::min(m_wakeAt, timeoutAt);
            continue;
        }
        waiting.abandoned = true;
        waiting.outcome = attempt_outcome::timed_out;
        part.mayHaveRun = true;
        --part.inFlight;
        step.abandoned.push_back(id);
    }
}

duration request_execution::attemptTimeout() const
{
    return std::max(ATTEMPT_TIMEOUT_HEDGE_DELAYS * m_hedgeDelay, MIN_ATTEMPT_TIMEOUT);
}

void request_execution::sendFirst(std::size_t index, time_point now, execution_step &step)
{
    part_state &part = m_parts[index];
    const auto server = m_servers.choose(part.service, {}, backend_table::suspended_server_policy::avoided, m_medianLatency, now);
    if (server) {
        send(index, *server, now, step);
        return;
    }
    postponeAttempt(part, now);
}

void request_execution::postponeAttempt(part_state &part, time_point now)
{
    const time_point waitableAt = serverWaitableAt(part, now);
    part.nextAttemptAt = waitableAt > now ? std::min(waitableAt, now + NO_SERVER_RETRY_DELAY) : now + NO_SERVER_RETRY_DELAY;
    m_wakeAt = std::min(m_wakeAt, part.nextAttemptAt);
}

void request_execution::sendRetry(std::size_t index, time_point now, execution_step &step)
{
    part_state &part = m_parts[index];
    if (part.attempts.size() >= MAX_ATTEMPTS) {
        part.noFurtherAttempts = true;
        return;
    }
    if (mayCrashServers() && holdRetry(part, now)) {
        return;
    }
    const auto server = chooseRetryServer(part, now);
    if (!server) {
        postponeAttempt(part, now);
        return;
    }
    const bool arrivedBefore =
        std::any_of(part.attempts.begin(), part.attempts.end(), [this](std::size_t id) { return m_attempts[id].outcome != attempt_outcome::unreachable; });
    if (arrivedBefore && !m_budget.tryAcquire(part.service, extra_send_purpose::retry, now)) {
        part.noFurtherAttempts = true;
        return;
    }
    send(index, *server, now, step);
}

bool request_execution::mayCrashServers() const
{
    return m_route.isQuery() && m_parts.size() > 1 && m_anyConnectionLost && !m_anyAnswer;
}

bool request_execution::waitsForTrial() const
{
    return m_mode == run_mode::trial && !m_anyAnswer && std::any_of(m_parts.begin(), m_parts.end(), [](const part_state &part) { return part.inFlight > 0; });
}

bool request_execution::holdRetry(part_state &part, time_point now)
{
    const bool waiting = std::any_of(m_parts.begin(), m_parts.end(), [](const part_state &item) { return item.inFlight > 0; });
    if (m_retryConnectionLost && !waiting) {
        part.noFurtherAttempts = true;
        return true;
    }
    const bool repeating = std::any_of(m_parts.begin(), m_parts.end(), [](const part_state &item) { return item.inFlight > 0 && item.attempts.size() > 1; });
    if (!m_retryConnectionLost && !repeating) {
        return false;
    }
    m_wakeAt = std::min(m_wakeAt, now + NO_SERVER_RETRY_DELAY);
    return true;
}

std::optional<backend_choice> request_execution::chooseRetryServer(const part_state &part, time_point now)
{
    const std::vector<backend_server_id> mayHaveRunServers = serversThatMayHaveRun(part);
    if (mayHaveRunServers.size() < m_route.maxServers) {
        auto other = m_servers.choose(part.service, triedServers(part), backend_table::suspended_server_policy::avoided, m_medianLatency, now);
        if (other) {
            return other;
        }
        return m_servers.choose(part.service, {}, backend_table::suspended_server_policy::avoided, m_medianLatency, now);
    }
    // The request has reached its limit of servers, so it may only be sent again to one that already received it.
    return m_servers.chooseAmong(part.service, mayHaveRunServers, m_medianLatency, now);
}

void request_execution::sendHedge(std::size_t index, time_point now, execution_step &step)
{
    part_state &part = m_parts[index];
    const attempt &first = m_attempts[part.attempts.back()];
    const time_point due = first.sentAt + m_hedgeDelay;
    if (now < due) {
        m_wakeAt = std::min(m_wakeAt, due);
        return;
    }
    if (part.attempts.size() > 1 || serversThatMayHaveRun(part).size() >= m_route.maxServers) {
        return;
    }
    const auto server = m_servers.choose(part.service, triedServers(part), backend_table::suspended_server_policy::excluded, m_medianLatency, now);
    if (!server || !m_budget.tryAcquire(part.service, extra_send_purpose::hedge, now)) {
        return;
    }
    send(index, *server, now, step);
}

void request_execution::send(std::size_t index, const backend_choice &server, time_point now, execution_step &step)
{
    part_state &part = m_parts[index];
    const std::size_t id = m_attempts.size();
    step.sends.push_back({id, index, server, !part.attempts.empty()});
    m_attempts.push_back({index, server.id, now});
    part.attempts.push_back(id);
    ++part.inFlight;
    if (m_route.idempotent) {
        m_wakeAt = std::min(m_wakeAt, now + m_hedgeDelay);
    }
}

std::vector<backend_server_id> request_execution::triedServers(const part_state &part) const
{
    std::vector<backend_server_id> servers;
    for (const std::size_t id : part.attempts) {
        servers.push_back(m_attempts[id].server);
    }
    return servers;
}

std::vector<backend_server_id> request_execution::serversThatMayHaveRun(const part_state &part) const
{
    std::vector<backend_server_id> servers;
    for (const std::size_t id : part.attempts) {
        const attempt &made = m_attempts[id];
        const bool certainlyNot = made.ended && !mayHaveRun(made.outcome);
        if (!certainlyNot && std::find(servers.begin(), servers.end(), made.server) == servers.end()) {
            servers.push_back(made.server);
        }
    }
    return servers;
}

time_point request_execution::latestSend(time_point now) const
{
    return std::max(now, m_times.target - m_medianLatency);
}

time_point request_execution::serverWaitableAt(const part_state &part, time_point now) const
{
    const std::vector<backend_server_id> servers = serversThatMayHaveRun(part);
    if (servers.size() < m_route.maxServers) {
        return m_servers.waitableAt(part.service, now);
    }
    time_point earliest = time_point::max();
    for (const backend_server_id &id : servers) {
        earliest = std::min(earliest, m_servers.serverWaitableAt(id, now));
    }
    return earliest;
}

bool request_execution::cannotBeAnswered(const part_state &part, time_point now) const
{
    if (part.answer != NONE || part.inFlight > 0) {
        return false;
    }
    return part.noFurtherAttempts || serverWaitableAt(part, now) > latestSend(now);
}

bool request_execution::meetsMinCoverage(std::size_t answered) const
{
    return answered > 0 && static_cast<double>(answered) / static_cast<double>(m_parts.size()) >= m_route.minCoverage - SHARE_TOLERANCE;
}

void request_execution::finishIfDue(time_point now, execution_step &step)
{
    std::size_t answered = 0;
    std::size_t open = 0;
    for (const part_state &part : m_parts) {
        answered += part.answer != NONE ? 1 : 0;
        open += part.answer == NONE && !cannotBeAnswered(part, now) ? 1 : 0;
    }
    const bool sufficient = isSufficient(answered);
    reportResponse(sufficient, now);
    if (sufficient && !m_sufficientSince) {
        m_sufficientSince = now;
    }
    if (sufficient && (open == 0 || now >= m_times.end)) {
        finishWithAnswers(step);
        return;
    }
    if (sufficient && now >= m_times.target) {
        // If the answers first sufficed after the target, the result is late anyway and waits somewhat longer for the missing shards.
        const time_point waitUntil = *m_sufficientSince <= m_times.target ? m_times.target : *m_sufficientSince + m_route.targetLatency / EXTRA_WAIT_DIVISOR;
        if (now >= waitUntil) {
            finishWithAnswers(step);
            return;
        }
        m_wakeAt = std::min(m_wakeAt, waitUntil);
    }
    if (!isSufficient(answered + open) || now >= m_times.end) {
        finishWithoutAnswer(now, step);
    }
}

void request_execution::reportResponse(bool sufficient, time_point now)
{
    if (!m_route.isQuery() || m_responseReported || !(sufficient || now >= m_times.target)) {
        return;
    }
    m_responseReported = true;
    m_admission.recordResponse(m_route, now - m_times.received, now);
}

void request_execution::finishWithAnswers(execution_step &step)
{
    finish(execution_result::kind::answered, "", step);
    for (const part_state &part : m_parts) {
        if (part.answer != NONE) {
            step.result->subRequests.push_back(part.answer);
        }
    }
}

void request_execution::finishNotRun(std::string reason, duration delay, execution_step &step)
{
    finish(execution_result::kind::not_run, std::move(reason), step);
    step.result->retryAfter = delay;
}

duration request_execution::retryAfter(time_point now) const
{
    std::vector<std::pair<time_point, const part_state *>> availability;
    for (const part_state &part : m_parts) {
        availability.emplace_back(m_servers.availableAt(part.service, now), &part);
    }
    std::sort(availability.begin(), availability.end());
    std::size_t needed = 1;
    while (needed < m_parts.size() && !isSufficient(needed)) {
        ++needed;
    }
    const auto [availableAt, part] = availability[needed - 1];
    if (availableAt <= now || availableAt == time_point::max()) {
        return std::min<duration>(RETRY_AFTER, m_route.targetLatency / 4);
    }
    const time_point latest = now + m_times.longestRetryAfter(now);
    return m_returns.reserve(part->service, availableAt, m_servers.requestInterval(part->service, m_medianLatency), latest) - now;
}

void request_execution::finishWithoutAnswer(time_point now, execution_step &step)
{
    if (!m_route.isQuery() && m_parts.front().serverError != NONE && m_parts.front().inFlight == 0) {
        finish(execution_result::kind::answered, "server_error", step);
        step.result->subRequests.push_back(m_parts.front().serverError);
        return;
    }
    const bool ran = std::any_of(m_parts.begin(), m_parts.end(), [](const part_state &part) { return part.mayHaveRun || part.inFlight > 0; });
    if (!ran) {
        finishNotRun(now >= m_times.end ? "no_server_in_time" : "no_server", retryAfter(now), step);
        return;
    }
    finish(now >= m_times.end ? execution_result::kind::timed_out : execution_result::kind::failed, "too_few_answers", step);
}

void request_execution::finish(execution_result::kind outcome, std::string reason, execution_step &step)
{
    m_finished = true;
    step.result.emplace();
    step.result->outcome = outcome;
    step.result->reason = std::move(reason);
    step.result->missing = static_cast<std::size_t>(std::count_if(m_parts.begin(), m_parts.end(), [](const part_state &part) { return part.answer == NONE; }));
}

} // namespace snipefall
