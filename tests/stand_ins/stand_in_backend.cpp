#include "tests/stand_ins/stand_in_backend.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "tests/stand_ins/stand_in_replies.h"

namespace snipefall {

namespace {

// Latency multiplier for requests that exceed the current capacity of a server that is warming up.
constexpr long COLD_LATENCY_FACTOR = 8;
constexpr long DEFAULT_DEADLINE_MS = 10000;
// Number of results per shard response; enough for tests to check which server, snapshot and shard each result comes from.
constexpr std::uint64_t RESULTS_PER_SHARD = 2;
constexpr int CRASH_EXIT_CODE = 70;

} // namespace

stand_in_backend::stand_in_backend(stand_in_backend_options options)
    : m_options(std::move(options))
    , m_slotLimiter(m_options.slots, m_options.queue)
    , m_startedMs(wallClockMs())
    , m_randomEngine(m_options.seed)
{
    if (m_options.held.empty()) {
        for (std::uint32_t shard = 0; shard < m_options.shards; ++shard) {
            m_options.held.insert(shard);
        }
    }
    for (const std::string &id : m_options.snapshots) {
        m_snapshots[id] = {m_options.shards, m_options.held};
    }
    if (!m_options.crash) {
        m_options.crash = [] { std::_Exit(CRASH_EXIT_CODE); };
    }
}

stand_in_backend::~stand_in_backend()
{
    stop();
}

std::string stand_in_backend::start()
{
    http_server_options options;
    options.address = m_options.host;
    options.port = m_options.port;
    options.maxThreads = m_options.threads;
    m_server = std::make_unique<http_server>(options, [this](const http_request &request) { return handle(request); });
    return m_server->start();
}

void stand_in_backend::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_stateChanged.notify_all();
    }
    m_slotLimiter.stop();
    if (m_server) {
        m_server->stop();
    }
}

http_response stand_in_backend::handle(const http_request &request)
{
    if (request.path == "/control" && request.method == "GET") {
        return jsonReply(state());
    }
    if (request.path == "/control" && request.method == "PUT") {
        const auto switches = parseJson(request.body);
        const std::string refusal = switches ? control(*switches) : switches.reason().message;
        return refusal.empty() ? jsonReply(state()) : errorReply(400, "invalid_argument", refusal);
    }
    const connection_registry::connection peer(request.peerAddress, request.peerPort);
    const bool isFirst = m_connections.recordRequest(peer);
    std::unique_lock lock(m_mutex);
    if (m_switches.freeze || m_connections.isSilent(peer)) {
        lock.unlock();
        return waitWithoutResponse(peer);
    }
    if (isFirst) {
        const std::size_t open = connection_registry::countOpen(m_options.port);
        m_maxConnections = std::max(m_maxConnections, open);
        if (open > m_options.connections) {
            ++m_requestCounts["refused_connections"];
            http_response refusal = errorReply(429, "overloaded", "too many connections");
            refusal.closeConnection = true;
            return refusal;
        }
        m_stateChanged.wait_for(lock, std::chrono::milliseconds(m_options.connectCostMs), [this] { return m_stopping; });
    }
    if (request.path == "/health" && request.method == "GET") {
        return jsonReply({{"health", m_switches.health}}, m_switches.health == "healthy" ? 200 : 503);
    }
    lock.unlock();
    return request.path == "/status" && request.method == "GET" ? status() : handleBackendRequest(request);
}

http_response stand_in_backend::handleBackendRequest(const http_request &request)
{
    const bool isKnown = request.path == "/shards/query" || request.path == "/execute" || request.path == "/cancel";
    if (!isKnown || request.method != "POST") {
        return errorReply(404, "not_found", "no route " + request.method + " " + request.path);
    }
    {
        const std::lock_guard lock(m_mutex);
        ++m_requestCounts[request.path];
        if (request.path != "/cancel" && !m_switches.crashOn.empty() && request.body.find(m_switches.crashOn) != std::string::npos) {
            m_options.crash();
        }
    }
    const auto body = parseJson(request.body);
    if (!body || !body->is_object()) {
        return errorReply(400, "invalid_argument", "the body must be a JSON object");
    }
    if (request.path == "/cancel") {
        return handleCancel(*body);
    }
    return request.path == "/execute" ? handleExecute(*body, request.path) : handleQuery(*body, request.path);
}

http_response stand_in_backend::handleQuery(const json &body, const std::string &path)
{
    http_response refusal = checkShard(body);
    if (!refusal.body.empty()) {
        return refusal;
    }
    const fault_plan plan = planFaults(path);
    const long deadlineMs = std::max(0L, jsonValue<long>(body, "deadline_ms", DEFAULT_DEADLINE_MS));
    return runInSlot(plan, deadlineMs, body["sub_id"].dump(), [&] { return runQuery(body, plan); });
}

http_response stand_in_backend::runQuery(const json &body, const fault_plan &plan)
{
    // PUT /control may have dropped the snapshot while the request waited for its slot or latency.
    http_response refusal = checkShard(body);
    if (!refusal.body.empty()) {
        return refusal;
    }
    const std::string snapshotId = body["snapshot"];
    const std::uint32_t shard = body["shard"];
    json results = json::array();
    for (std::uint64_t item = 0; item < std::min(RESULTS_PER_SHARD, m_options.itemsPerShard); ++item) {
        results.push_back({{"server", m_options.serverId}, {"version", m_options.version}, {"snapshot", snapshotId}, {"shard", shard}, {"item", item}});
    }
    const std::lock_guard lock(m_mutex);
    json subId = body["sub_id"];
    if (plan.returnsWrongSubId) {
        subId = !m_lastSubId.is_null() && m_lastSubId != subId ? m_lastSubId : json(subId.is_number_unsigned() ? subId.get<std::uint64_t>() + 1 : 0);
    }
    m_lastSubId = body["sub_id"];
    return jsonReply({{"sub_id", subId}, {"snapshot", snapshotId}, {"shard", shard}, {"items_seen", m_options.itemsPerShard}, {"results", results}});
}

http_response stand_in_backend::handleExecute(const json &body, const std::string &path)
{
    const std::string requestId = jsonValue<std::string>(body, "request_id", "");
    if (requestId.empty() || !body.contains("fencing_token") || !body["fencing_token"].is_number_unsigned()) {
        return errorReply(400, "invalid_argument", "request_id and fencing_token are required");
    }
    const fault_plan plan = planFaults(path);
    const long deadlineMs = std::max(0L, jsonValue<long>(body, "deadline_ms", DEFAULT_DEADLINE_MS));
    return runInSlot(plan, deadlineMs, {}, [&] {
        const std::size_t runNumber = m_executions.recordExecution(requestId, body["fencing_token"].get<std::uint64_t>());
        if (runNumber == 0) {
            return errorReply(409, "stale_fencing_token", "a higher fencing token was seen for this request");
        }
        http_response response =
            jsonReply({{"request_id", requestId}, {"result", {{"server", m_options.serverId}, {"version", m_options.version}, {"run", runNumber}}}});
        const std::lock_guard lock(m_mutex);
        response.closeWithoutResponse = m_switches.executeResponsesToLose > 0;
        m_switches.executeResponsesToLose -= response.closeWithoutResponse ? 1 : 0;
        return response;
    });
}

template <typename Work>
http_response stand_in_backend::runInSlot(const fault_plan &plan, long deadlineMs, const std::string &cancelKey, Work work)
{
    const time_point deadline = system_clock().now() + std::chrono::milliseconds(deadlineMs);
    if (plan.switches.drain) {
        return errorReply(503, "draining", "the server is draining");
    }
    const slot_limiter::slot_result admission = plan.isShed ? slot_limiter::slot_result::shed : m_slotLimiter.enter(deadline);
    if (admission == slot_limiter::slot_result::shed) {
        const std::lock_guard lock(m_mutex);
        ++m_requestCounts["shed"];
        return errorReply(429, "overloaded", "no free slot");
    }
    if (admission == slot_limiter::slot_result::expired || admission == slot_limiter::slot_result::stopped) {
        return errorReply(504, "deadline_exceeded", "the deadline passed before the request ran");
    }
    const bool runsBeforeDelay = cancelKey.empty();
    http_response response = runsBeforeDelay && !plan.failsWithError ? work() : http_response();
    if (response.status != 200) {
        m_slotLimiter.leave();
        return response;
    }
    const long delayMs = plan.delayMs * (admission == slot_limiter::slot_result::entered_over_capacity ? COLD_LATENCY_FACTOR : 1);
    const time_point end = system_clock().now() + std::chrono::milliseconds(delayMs);
    bool cancelled = false;
    {
        std::unique_lock lock(m_mutex);
        m_runningIds.insert(cancelKey);
        m_stateChanged.wait_until(lock, std::min(end, deadline), [&] { return m_stopping || m_cancelledIds.contains(cancelKey); });
        m_runningIds.erase(cancelKey);
        cancelled = m_cancelledIds.erase(cancelKey) > 0;
        m_requestCounts["cancelled"] += cancelled ? 1 : 0;
    }
    if (cancelled) {
        response = errorReply(410, "cancelled", "the request was cancelled", "ran");
    } else if (plan.failsWithError) {
        response = errorReply(500, "internal", "the version is bad", runsBeforeDelay ? "not_run" : "ran");
    } else if (end > deadline) {
        response = errorReply(504, "deadline_exceeded", "the deadline passed while the request ran", "ran");
    } else if (!runsBeforeDelay) {
        response = work();
    }
    m_slotLimiter.leave();
    return response;
}

http_response stand_in_backend::handleCancel(const json &body)
{
    if (!body.contains("sub_id")) {
        return errorReply(400, "invalid_argument", "sub_id is required");
    }
    const std::lock_guard lock(m_mutex);
    const std::string key = body["sub_id"].dump();
    const bool isRunning = m_runningIds.contains(key);
    if (isRunning) {
        m_cancelledIds.insert(key);
        m_stateChanged.notify_all();
    }
    return jsonReply({{"cancelled", isRunning}});
}

stand_in_backend::fault_plan stand_in_backend::planFaults(const std::string &path)
{
    const unsigned running = m_slotLimiter.running();
    const std::lock_guard lock(m_mutex);
    fault_plan plan;
    plan.switches = m_switches;
    const double spread = std::uniform_real_distribution<double>(0.8, 1.2)(m_randomEngine);
    plan.delayMs = std::lround(static_cast<double>(m_options.latencyMs) * spread);
    if (drawWithProbability(m_switches.straggleProbability)) {
        plan.delayMs += m_switches.straggleMs;
    }
    const std::string &mode = m_switches.badMode;
    const bool isBad = mode == "now" || (mode == "after_ms" && system_clock().now() - m_badModeSetAt >= std::chrono::milliseconds(m_switches.badAfterMs))
        || (mode == "route" && path == m_switches.badRoute) || (mode == "load" && running >= m_switches.badLoad);
    if (isBad) {
        plan.delayMs += m_switches.badExtraMs;
        plan.failsWithError = drawWithProbability(m_switches.badErrorRate);
    }
    plan.isShed = drawWithProbability(m_switches.shedRate);
    plan.returnsWrongSubId = drawWithProbability(m_switches.wrongSubIdRate);
    return plan;
}

bool stand_in_backend::drawWithProbability(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_randomEngine) < probability;
}

} // namespace snipefall
