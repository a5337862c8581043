#include "policy/request_execution.h"

#include <algorithm>

#include "policy/route_latency.h"
#include "policy/shared_retry_budget.h"

namespace snipefall {

namespace {

/** Attempts for one part; bounds the work that a request without any sound server causes. */
constexpr std::size_t MAX_ATTEMPTS = 5;
/** Two attempts follow each other at once; a further one waits this long, doubled each time, because the servers need time to get sound. */
constexpr duration FAILED_PAUSE = std::chrono::milliseconds(10);
/** Until latencies are known, the usual one is taken for this part of the target, and a hedge is sent after twice this part. */
constexpr int UNKNOWN_LATENCY_DIVISOR = 6;
/** A hedge is sent at the latest after this part of the target, so that its answer can still be in time. */
constexpr int LATEST_HEDGE_DIVISOR = 2;
constexpr duration SHORTEST_HEDGE_DELAY = std::chrono::milliseconds(2);
/** Time between two attempts after a server refused one, doubled each time. */
constexpr duration REFUSED_PAUSE = std::chrono::milliseconds(10);
/** Time between two looks for a server while there is none. */
constexpr duration NO_SERVER_PAUSE = std::chrono::milliseconds(25);
/** Without an answer for this many hedge delays, the connection or the server is taken for dead. */
constexpr int SILENT_HEDGE_DELAYS = 8;
constexpr duration SHORTEST_ATTEMPT = std::chrono::milliseconds(300);
/** After the target a query waits for its last shards for this part of the target latency. */
constexpr int LATE_WAIT_DIVISOR = 2;
/** Callers of refused requests come back after this time, or after a quarter of the target latency if that is shorter. */
constexpr duration RETRY_AFTER = std::chrono::milliseconds(100);
/** Tolerance of the comparison of two shares. */
constexpr double SHARE_TOLERANCE = 1e-9;

} // namespace

request_execution::request_execution(const request_route &route,
                                     std::vector<service_id> services,
                                     const request_times &times,
                                     backend_table &servers,
                                     shared_retry_budget &budget,
                                     const route_latency &latencies)
    : m_route(route)
    , m_times(times)
    , m_servers(servers)
    , m_budget(budget)
{
    const duration guess = route.targetLatency / UNKNOWN_LATENCY_DIVISOR;
    m_usualLatency = latencies.usual(route.name, guess);
    const duration learned = latencies.hedgeDelay(route.name, 2 * guess);
    m_hedgeDelay = std::max(std::min(learned, route.targetLatency / LATEST_HEDGE_DIVISOR), SHORTEST_HEDGE_DELAY);
    for (service_id &service : services) {
        part_state part;
        part.service = std::move(service);
        m_parts.push_back(std::move(part));
    }
}

execution_step request_execution::start(time_point now)
{
    std::size_t reachable = 0;
    for (const part_state &part : m_parts) {
        m_budget.countRequest(part.service, now);
        reachable += m_servers.hasReachableServer(part.service, now) ? 1 : 0;
    }
    if (m_route.isQuery() ? !enough(reachable) : reachable == 0) {
        // Another node may reach the servers; the caller learns at once that this one does not.
        execution_step step;
        finish(execution_result::kind::not_run, "servers_unreachable", step);
        step.result->retryAfter = std::min<duration>(RETRY_AFTER, m_route.targetLatency / 4);
        return step;
    }
    return advance(now);
}

execution_step request_execution::subRequestEnded(std::size_t id, try_outcome outcome, time_point now)
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
    part.notRun += outcome == try_outcome::not_run ? 1 : 0;
    if (outcome == try_outcome::answered && part.answer == NONE) {
        part.answer = id;
    }
    if (outcome == try_outcome::server_error) {
        part.serverError = id;
    }
    m_anyAnswer = m_anyAnswer || outcome == try_outcome::answered || outcome == try_outcome::server_error;
    if (outcome == try_outcome::lost) {
        m_anyLost = true;
        m_repeatLost = m_repeatLost || part.attempts.front() != id;
    }
    if (!m_route.idempotent && mayHaveRun(outcome)) {
        part.closed = true;
    }
    if (outcome == try_outcome::not_run) {
        part.nextTry = now + REFUSED_PAUSE * (1U << std::min(part.notRun, 5U)) / 2;
    } else if (outcome != try_outcome::answered && part.attempts.size() >= 2) {
        part.nextTry = now + FAILED_PAUSE * (1U << (part.attempts.size() - 2));
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
        if (m_parts[i].answer == NONE && !m_parts[i].closed) {
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
    part_state &part = m_parts[index];
    giveUpSilentAttempts(part, now, step);
    if (part.inFlight == 0) {
        if (now < part.nextTry) {
            m_wakeAt = std::min(m_wakeAt, part.nextTry);
        } else if (part.attempts.empty()) {
            sendFirst(index, now, step);
        } else {
            sendAgain(index, now, step);
        }
        return;
    }
    if (m_route.idempotent && part.inFlight == 1 && part.attempts.size() < MAX_ATTEMPTS) {
        sendHedge(index, now, step);
    }
}

void request_execution::giveUpSilentAttempts(part_state &part, time_point now, execution_step &step)
{
    if (!m_route.idempotent) {
        return;
    }
    for (const std::size_t id : part.attempts) {
        attempt &waiting = m_attempts[id];
        if (waiting.ended || waiting.abandoned) {
            continue;
        }
        const time_point giveUpAt = waiting.sentAt + attemptTimeout();
        if (now < giveUpAt) {
            m_wakeAt = std::min(m_wakeAt, giveUpAt);
            continue;
        }
        waiting.abandoned = true;
        waiting.outcome = try_outcome::timed_out;
        part.mayHaveRun = true;
        --part.inFlight;
        step.abandoned.push_back(id);
    }
}

duration request_execution::attemptTimeout() const
{
    return std::max(SILENT_HEDGE_DELAYS * m_hedgeDelay, SHORTEST_ATTEMPT);
}

void request_execution::sendFirst(std::size_t index, time_point now, execution_step &step)
{
    part_state &part = m_parts[index];
    const auto server = m_servers.choose(part.service, {}, backend_table::suspended_servers::avoided, m_usualLatency, now);
    if (server) {
        send(index, *server, now, step);
        return;
    }
    part.nextTry = now + NO_SERVER_PAUSE;
    m_wakeAt = std::min(m_wakeAt, part.nextTry);
}

void request_execution::sendAgain(std::size_t index, time_point now, execution_step &step)
{
    part_state &part = m_parts[index];
    if (part.attempts.size() >= MAX_ATTEMPTS) {
        part.closed = true;
        return;
    }
    if (mayCrashServers() && holdBack(part, now)) {
        return;
    }
    const auto server = chooseAgain(part, now);
    if (!server) {
        part.nextTry = now + NO_SERVER_PAUSE;
        m_wakeAt = std::min(m_wakeAt, part.nextTry);
        return;
    }
    const bool arrivedBefore =
        std::any_of(part.attempts.begin(), part.attempts.end(), [this](std::size_t id) { return m_attempts[id].outcome != try_outcome::unreachable; });
    if (arrivedBefore && !m_budget.tryAcquire(part.service, extra_send::retry, now)) {
        part.closed = true;
        return;
    }
    send(index, *server, now, step);
}

bool request_execution::mayCrashServers() const
{
    return m_route.isQuery() && m_parts.size() > 1 && m_anyLost && !m_anyAnswer;
}

/** A query that may crash servers is repeated on one server at a time, and no more once that one is lost as well, unless an answer shows it to be harmless. */
bool request_execution::holdBack(part_state &part, time_point now)
{
    const bool waiting = std::any_of(m_parts.begin(), m_parts.end(), [](const part_state &item) { return item.inFlight > 0; });
    if (m_repeatLost && !waiting) {
        part.closed = true;
        return true;
    }
    const bool repeating = std::any_of(m_parts.begin(), m_parts.end(), [](const part_state &item) { return item.inFlight > 0 && item.attempts.size() > 1; });
    if (!m_repeatLost && !repeating) {
        return false;
    }
    m_wakeAt = std::min(m_wakeAt, now + NO_SERVER_PAUSE);
    return true;
}

std::optional<backend_choice> request_execution::chooseAgain(const part_state &part, time_point now)
{
    const std::vector<backend_server_id> mayRun = serversThatMayRun(part);
    if (mayRun.size() < m_route.maxServers) {
        auto other = m_servers.choose(part.service, triedServers(part), backend_table::suspended_servers::avoided, m_usualLatency, now);
        if (other) {
            return other;
        }
        return m_servers.choose(part.service, {}, backend_table::suspended_servers::avoided, m_usualLatency, now);
    }
    // The request may not go to further servers, but once more to one that had it.
    auto server = m_servers.choose(part.service, {}, backend_table::suspended_servers::avoided, m_usualLatency, now);
    if (server && std::find(mayRun.begin(), mayRun.end(), server->id) != mayRun.end()) {
        return server;
    }
    for (const backend_server_id &id : mayRun) {
        const backend_entry *entry = m_servers.find(id);
        if (entry && !entry->draining && !m_servers.excludedDomains().contains(entry->domain)) {
            return backend_choice{entry->id, entry->address};
        }
    }
    return std::nullopt;
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
    if (part.attempts.size() > 1 || serversThatMayRun(part).size() >= m_route.maxServers) {
        return;
    }
    const auto server = m_servers.choose(part.service, triedServers(part), backend_table::suspended_servers::excluded, m_usualLatency, now);
    if (!server || !m_budget.tryAcquire(part.service, extra_send::hedge, now)) {
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

std::vector<backend_server_id> request_execution::serversThatMayRun(const part_state &part) const
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

bool request_execution::hopeless(const part_state &part, time_point now) const
{
    if (part.answer != NONE || part.inFlight > 0) {
        return false;
    }
    return part.closed || !m_servers.hasServer(part.service, now);
}

bool request_execution::enough(std::size_t answered) const
{
    return answered > 0 && static_cast<double>(answered) / static_cast<double>(m_parts.size()) >= m_route.minCoverage - SHARE_TOLERANCE;
}

void request_execution::finishIfDue(time_point now, execution_step &step)
{
    std::size_t answered = 0;
    std::size_t open = 0;
    for (const part_state &part : m_parts) {
        answered += part.answer != NONE ? 1 : 0;
        open += part.answer == NONE && !hopeless(part, now) ? 1 : 0;
    }
    const bool sufficient = m_route.isQuery() ? enough(answered) : answered > 0;
    if (sufficient && !m_enoughSince) {
        m_enoughSince = now;
    }
    if (sufficient && (open == 0 || now >= m_times.end)) {
        finishWithAnswers(step);
        return;
    }
    if (sufficient && now >= m_times.target) {
        // An answer that is late anyway waits a little for the shards that are still missing.
        const time_point waitUntil = *m_enoughSince <= m_times.target ? m_times.target : *m_enoughSince + m_route.targetLatency / LATE_WAIT_DIVISOR;
        if (now >= waitUntil) {
            finishWithAnswers(step);
            return;
        }
        m_wakeAt = std::min(m_wakeAt, waitUntil);
    }
    const bool possible = m_route.isQuery() ? enough(answered + open) : answered + open > 0;
    if (!possible || now >= m_times.end) {
        finishWithout(now, step);
    }
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

void request_execution::finishWithout(time_point now, execution_step &step)
{
    if (!m_route.isQuery() && m_parts.front().serverError != NONE && m_parts.front().inFlight == 0) {
        finish(execution_result::kind::answered, "server_error", step);
        step.result->subRequests.push_back(m_parts.front().serverError);
        return;
    }
    const bool ran = std::any_of(m_parts.begin(), m_parts.end(), [](const part_state &part) { return part.mayHaveRun || part.inFlight > 0; });
    if (!ran) {
        finish(execution_result::kind::not_run, now >= m_times.end ? "no_server_in_time" : "no_server", step);
        step.result->retryAfter = std::min<duration>(RETRY_AFTER, m_route.targetLatency / 4);
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
