#include "node/query_runner.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/json.h"
#include "http/fan_out_engine.h"
#include "node/crash_detector.h"
#include "node/move_manager.h"
#include "node/quarantine_controller.h"
#include "node/query_environment.h"
#include "node/service_runtime.h"
#include "node/sub_answer_parser.h"
#include "node/sub_request_dispatcher.h"
#include "policy/latency_key.h"

namespace snipefall {

namespace {

// A connection on which a backend server sends nothing for this long is considered dead.
constexpr std::chrono::milliseconds PROGRESS_TIMEOUT{1000};

shard_failure failureOf(const sub_response &response)
{
    switch (response.status) {
    case transport_status::connect_failed:
        return shard_failure::connect_failed;
    case transport_status::closed:
    case transport_status::cancelled:
        return shard_failure::closed;
    case transport_status::no_progress:
        return shard_failure::no_progress;
    case transport_status::deadline_exceeded:
        return shard_failure::deadline;
    case transport_status::ok:
        break;
    }
    switch (response.httpStatus) {
    case 409:
        return shard_failure::snapshot_not_held;
    case 429:
        return shard_failure::shed;
    case 503:
        return shard_failure::draining;
    case 504:
        return shard_failure::deadline;
    default:
        return shard_failure::invalid_answer;
    }
}

std::uint64_t millisecondsUntil(time_point when)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(when - system_clock().now()).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(1, remaining));
}

} // namespace

query_runner::query_runner(query_task task, service_runtime &runtime, query_environment &environment)
    : m_task(std::move(task))
    , m_runtime(runtime)
    , m_environment(environment)
    , m_execution(m_task.planned.plan, m_task.options, runtime.budget)
    , m_trace(m_task.trace)
    , m_bodyPrefix(fmt::format(R"({{"service":{},"snapshot":{},"query":{},"shard":)",
                               json(m_task.service.str()).dump(),
                               json(m_task.planned.plan->snapshot.str()).dump(),
                               m_task.query))
{
}

query_result query_runner::run()
{
    {
        std::unique_lock lock(m_runtime.mutex);
        query_actions actions;
        if (m_trace) {
            m_trace->beginRun(m_task.planned.plan);
        }
        m_execution.start(system_clock().now(), actions);
        apply(actions, lock);
    }
    std::unique_lock lock(m_resultMutex);
    m_ended.wait(lock, [this] { return m_result.has_value(); });
    return std::move(*m_result);
}

std::string query_runner::subRequestName(sub_request_id subRequestId) const
{
    return fmt::format("{}-{}", m_task.subRequestIdPrefix, subRequestId.value());
}

sub_request query_runner::makeRequest(sub_request_id subRequestId)
{
    const sub_target target = targetOf(subRequestId);
    m_environment.quarantine.started(m_task.fingerprint, m_task.planned.plan->servers[target.server.value()]);
    sub_request request;
    request.address = m_task.planned.addresses[target.server.value()];
    request.target = "/shards/query";
    request.requestId = m_task.request.str();
    request.deadline = target.deadline;
    request.progressTimeout = PROGRESS_TIMEOUT;
    request.body = fmt::format(
        R"({}{},"sub_id":"{}","deadline_ms":{}}})", m_bodyPrefix, target.shard.value(), subRequestName(subRequestId), millisecondsUntil(target.deadline));
    return request;
}

sub_request query_runner::makeCancel(sub_request_id subRequestId)
{
    sub_request request;
    request.address = m_task.planned.addresses[targetOf(subRequestId).server.value()];
    request.target = "/cancel";
    request.requestId = m_task.request.str();
    request.deadline = system_clock().now() + PROGRESS_TIMEOUT;
    request.body = fmt::format(R"({{"sub_id":"{}"}})", subRequestName(subRequestId));
    return request;
}

query_runner::sub_target query_runner::targetOf(sub_request_id subRequestId) const
{
    const std::lock_guard lock(m_runtime.mutex);
    return m_targets.at(subRequestId);
}

bool query_runner::onSlotFree(const backend_server_id &server)
{
    const auto &servers = m_task.planned.plan->servers;
    const auto index = static_cast<std::uint32_t>(std::find(servers.begin(), servers.end(), server) - servers.begin());
    std::unique_lock lock(m_runtime.mutex);
    query_actions actions;
    m_execution.permitAvailable(server_index(index), system_clock().now(), actions);
    return apply(actions, lock);
}

void query_runner::onCompleted(sub_request_id subRequestId, const sub_response &response)
{
    const time_point now = system_clock().now();
    std::optional<sub_answer> answer;
    if (response.status == transport_status::ok && response.httpStatus == 200) {
        answer = parseSubAnswer(response.body, subRequestId, subRequestName(subRequestId));
    }
    reportOutcome(subRequestId, response, answer.has_value());
    std::unique_lock lock(m_runtime.mutex);
    query_actions actions;
    if (answer) {
        const std::optional<duration> latency = m_execution.subRequestAnswered(std::move(*answer), now, actions);
        if (latency) {
            recordLatency(*latency, now);
        }
        if (m_trace) {
            m_trace->answered(subRequestId, latency.has_value(), now);
        }
    } else {
        const shard_failure kind = failureOf(response);
        m_execution.subRequestFailed(subRequestId, kind, now, actions);
        if (m_trace) {
            m_trace->failed(subRequestId, kind, now);
        }
    }
    apply(actions, lock);
}

void query_runner::reportOutcome(sub_request_id subRequestId, const sub_response &response, bool answered)
{
    const backend_server_id &server = m_task.planned.plan->servers[targetOf(subRequestId).server.value()];
    if (response.status == transport_status::closed) {
        m_environment.crashDetector.connectionClosed(server, m_task.fingerprint);
    } else {
        m_environment.quarantine.ended(m_task.fingerprint, server, answered);
    }
    const bool refused = response.status == transport_status::ok && (response.httpStatus == 429 || response.httpStatus == 503 || response.httpStatus == 409);
    const bool cancelled = response.status == transport_status::cancelled || (response.status == transport_status::ok && response.httpStatus == 410);
    if (refused || cancelled || response.status == transport_status::connect_failed) {
        return;
    }
    sub_request_sample sample;
    sample.route = m_task.route;
    sample.failed = !answered;
    // Samples on new connections don't count as warm: the time to connect depends on how this node's connection pool grows with its permit share, not on the
    // version.
    sample.warm = response.reusedConnection && !m_environment.dispatcher.isCold(server);
    sample.latency = response.elapsed;
    sample.at = system_clock().now();
    m_environment.moveManager.record(m_task.service, m_task.version, std::move(sample));
}

void query_runner::onTick()
{
    std::unique_lock lock(m_runtime.mutex);
    m_scheduledTick = time_point::max();
    query_actions actions;
    m_execution.tick(system_clock().now(), actions);
    apply(actions, lock);
}

void query_runner::recordLatency(duration latency, time_point now)
{
    m_runtime.latencies.record(latency_key{m_task.service, m_task.version}, latency, now);
}

bool query_runner::apply(query_actions &actions, std::unique_lock<std::mutex> &lock)
{
    const time_point now = system_clock().now();
    if (actions.restartOnNewerSnapshot && !m_task.newerSnapshotExists(m_task.planned.plan->snapshot)) {
        actions.restartOnNewerSnapshot = false;
    }
    if (actions.restartOnNewerSnapshot) {
        actions.finish.reset();
        m_execution.abandon(now, actions);
    }
    if (m_trace) {
        m_trace->record(actions, now);
    }
    for (const cancel_action &cancel : actions.cancels) {
        recordLatency(cancel.age, now);
    }
    for (const send_action &send : actions.sends) {
        m_targets.emplace(send.sub, sub_target{send.shard, send.server, send.deadline});
        ++(send.extra ? m_extraSends : m_firstSends);
    }
    const bool ended = m_execution.ended();
    if (ended) {
        m_trace.reset();
    }
    const query_result counts{std::nullopt, m_firstSends, m_extraSends};
    const time_point nextTick = m_execution.nextTick();
    const bool schedule = !ended && nextTick < m_scheduledTick;
    if (schedule) {
        m_scheduledTick = nextTick;
    }
    lock.unlock();

    for (const cancel_action &cancel : actions.cancels) {
        m_environment.dispatcher.cancel(m_task.planned.plan->servers[cancel.server.value()], cancel.sub);
    }
    if (actions.finish || actions.restartOnNewerSnapshot) {
        query_result result = counts;
        result.outcome = std::move(actions.finish);
        finish(std::move(result));
    }
    if (ended) {
        return false;
    }
    if (schedule) {
        scheduleTick(nextTick);
    }
    return startSends(actions.sends);
}

bool query_runner::startSends(const std::vector<send_action> &sends)
{
    bool started = false;
    for (const send_action &send : sends) {
        const backend_server_id &server = m_task.planned.plan->servers[send.server.value()];
        if (m_environment.dispatcher.tryStart(m_task.service, server, send.sub, send.deadline, shared_from_this())) {
            started = true;
            continue;
        }
        std::unique_lock lock(m_runtime.mutex);
        --(send.extra ? m_extraSends : m_firstSends);
        query_actions actions;
        if (m_trace) {
            m_trace->denied(send.sub);
        }
        m_execution.permitDenied(send.sub, system_clock().now(), actions);
        started = apply(actions, lock) || started;
    }
    return started;
}

void query_runner::finish(query_result result)
{
    const std::lock_guard lock(m_resultMutex);
    if (!m_result) {
        m_result = std::move(result);
        m_ended.notify_all();
    }
}

void query_runner::scheduleTick(time_point when)
{
    m_environment.engine.schedule(when, m_task.options.number.value(), [self = std::weak_ptr<query_runner>(shared_from_this())] {
        if (const auto runner = self.lock()) {
            runner->onTick();
        }
    });
}

} // namespace snipefall
