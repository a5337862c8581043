#include "policy/query_execution.h"

#include <algorithm>
#include <cmath>

#include "core/invariant.h"

namespace snipefall {

namespace {

/** Low bits of a sub_request_id that hold the position of the sub-request in its query; the bits above hold the query_number. */
constexpr unsigned SUB_REQUEST_POSITION_BITS = 20;
constexpr std::uint32_t MAX_SUB_REQUESTS = 1U << SUB_REQUEST_POSITION_BITS;
constexpr std::uint32_t NO_POSITION = ~0U;
/** Delay before the budget is asked again after it refused a token. It is short because concurrent queries earn tokens all the time. */
constexpr duration BUDGET_RETRY_DELAY = std::chrono::milliseconds(5);
/** Delay before the next attempt for a shard after all its replicas refused a permit; about as long as a sub-request holds a permit. */
constexpr duration PERMIT_RETRY_DELAY = std::chrono::milliseconds(10);
/** Delay before a sub-request is sent to a server that already failed one for the same shard. */
constexpr duration RETRY_BACKOFF = std::chrono::milliseconds(10);

/**
 * Number of hedge delays for which the other shards wait for the canary. The canary is hedged after one hedge delay, and the answer to the hedge usually
 * ends the wait. The wait is longer because a busy machine may report a crash late, and the request must not reach all servers until then.
 */
constexpr int CANARY_HOLD_DELAYS = 3;
/** Sub-requests of the canary shard in flight: the canary and one hedge. */
constexpr std::uint8_t MAX_CANARY_IN_FLIGHT = 2;
/** Lower bound of the hedge delay; with a shorter one the driver would call tick() in a busy loop. */
constexpr duration MIN_HEDGE_DELAY = std::chrono::milliseconds(1);

/** Whether the same server would fail every further sub-request of the query for this reason. */
bool isPermanent(shard_failure kind)
{
    return kind == shard_failure::snapshot_not_held || kind == shard_failure::draining || kind == shard_failure::connect_failed;
}

} // namespace

query_execution::query_execution(std::shared_ptr<const query_plan> plan, const query_options &options, extra_load_budget &budget)
    : m_plan(std::move(plan))
    , m_options(options)
    , m_budget(budget)
    , m_shards(m_plan->shards.size())
    , m_results(m_plan->shards.size())
{
    m_options.hedges.delay = std::max(m_options.hedges.delay, MIN_HEDGE_DELAY);
    m_options.hedges.maxInFlight = std::min(m_options.hedges.maxInFlight, shard_progress::MAX_IN_FLIGHT);
    m_coverage.shardsTotal = static_cast<std::uint32_t>(m_plan->shards.size());
    for (const shard_plan &shard : m_plan->shards) {
        m_coverage.itemsTotal += shard.items;
    }
    m_subRequests.reserve(m_shards.size() + m_shards.size() / 8 + 8);
    m_hedgeHoldShardCount = static_cast<std::size_t>(std::ceil(static_cast<double>(m_shards.size()) * m_options.hedges.maxOpenShare));
}

void query_execution::start(time_point now, query_actions &actions)
{
    SNIPEFALL_INVARIANT(!m_started, "query_execution::start() must be called only once");
    m_started = true;
    m_deadline = now + m_options.deadline;
    m_goodEnoughAt = now + m_options.goodEnough;
    m_hedgeHoldUntil = now + std::chrono::duration_cast<duration>(m_options.hedges.delay * m_options.hedges.maxHoldDelays);
    m_openShards.resize(m_shards.size());
    for (std::uint32_t shard = 0; shard < m_shards.size(); ++shard) {
        m_openShards[shard] = shard;
        m_shards[shard].openPosition = shard;
    }
    if (m_options.canary && m_openShards.size() > 1) {
        startCanary(now, actions);
    } else {
        for (std::uint32_t shard = 0; shard < m_coverage.shardsTotal; ++shard) {
            attemptShard(shard, now, actions);
        }
    }
    advance(now, actions);
}

void query_execution::startCanary(time_point now, query_actions &actions)
{
    for (const std::uint32_t shard : m_openShards) {
        if (!m_plan->shards[shard].candidates.empty()) {
            m_canaryActive = true;
            m_canaryShard = shard;
            holdOtherShardsForCanary(time_point::max());
            attemptShard(shard, now, actions);
            return;
        }
    }
}

void query_execution::holdOtherShardsForCanary(time_point until)
{
    for (const std::uint32_t shard : m_openShards) {
        if (shard != m_canaryShard && !m_shards[shard].firstSent) {
            scheduleAttempt(m_shards[shard], until);
        }
    }
}

bool query_execution::endCanaryPhase(std::optional<shard_failure> failed, time_point now)
{
    if (!m_canaryActive) {
        return true;
    }
    m_canaryActive = false;
    if (failed == shard_failure::closed) {
        for (const std::uint32_t shard : m_openShards) {
            m_shards[shard].lastFailure = shard_failure::closed;
        }
        return false;
    }
    holdOtherShardsForCanary(now);
    return true;
}

std::optional<duration> query_execution::subRequestAnswered(sub_answer answer, time_point now, query_actions &actions)
{
    countFirstSends(now);
    const auto position = positionOf(answer.sub);
    if (!position) {
        m_dropped.unknownSubRequest += 1;
        return std::nullopt;
    }
    if (!validateAnswer(answer, *position)) {
        if (m_subRequests[*position].state == sub_request_state::active) {
            failSubRequest(*position, shard_failure::invalid_answer, now, actions);
            advance(now, actions);
        }
        return std::nullopt;
    }
    const std::uint32_t index = m_subRequests[*position].shard;
    endSubRequest(*position, sub_request_state::ended);
    cancelActive(m_shards[index], now, actions);
    closeShard(index, shard_progress::state::answered);
    m_results[index] = std::move(answer.results);
    m_coverage.shardsAnswered += 1;
    m_coverage.itemsSeen += answer.itemsSeen;
    endCanaryPhase(std::nullopt, now);
    advance(now, actions);
    return now - m_subRequests[*position].sentAt;
}

void query_execution::subRequestFailed(sub_request_id sub, shard_failure kind, time_point now, query_actions &actions)
{
    countFirstSends(now);
    const std::uint32_t position = activePosition(sub);
    if (position == NO_POSITION) {
        return;
    }
    if (!endCanaryPhase(kind, now)) {
        endSubRequest(position, sub_request_state::ended);
        finish(now, actions);
        return;
    }
    failSubRequest(position, kind, now, actions);
    advance(now, actions);
}

void query_execution::permitDenied(sub_request_id sub, time_point now, query_actions &actions)
{
    const std::uint32_t position = activePosition(sub);
    if (position == NO_POSITION) {
        return;
    }
    const sub_request_record record = m_subRequests[position];
    shard_progress &shard = m_shards[record.shard];
    endSubRequest(position, sub_request_state::ended);
    shard.triedCandidates &= ~(1U << record.candidate);
    shard.deniedCandidates |= 1U << record.candidate;
    shard.sends -= 1;
    if (!record.extra) {
        shard.firstSent = false;
        shard.lastFailure = shard_failure::permit_denied;
    }
    revokeFromBudget(record, now);
    if (m_canaryActive && record.shard == m_canaryShard) {
        holdOtherShardsForCanary(time_point::max());
    }
    attemptShard(record.shard, now, actions);
    advance(now, actions);
}

void query_execution::permitAvailable(server_index server, time_point now, query_actions &actions)
{
    if (m_ended) {
        return;
    }
    for (const std::uint32_t shard : m_openShards) {
        shard_progress &progress = m_shards[shard];
        if (!progress.waitsForPermit || (m_canaryActive && shard != m_canaryShard)) {
            continue;
        }
        const std::vector<server_index> &candidates = m_plan->shards[shard].candidates;
        const auto position = static_cast<std::size_t>(std::find(candidates.begin(), candidates.end(), server) - candidates.begin());
        if (position >= candidateCount(shard) || (progress.excludedCandidates >> position & 1U) != 0) {
            continue;
        }
        // Masks all other candidates, so that the attempt can only use the server whose permit became free.
        progress.deniedCandidates = ~(1U << position);
        const std::size_t sent = actions.sends.size();
        attemptShard(shard, now, actions);
        progress.deniedCandidates = 0;
        if (actions.sends.size() > sent) {
            break;
        }
    }
    advance(now, actions);
}

void query_execution::tick(time_point now, query_actions &actions)
{
    countFirstSends(now);
    if (m_started) {
        advance(now, actions);
    }
}

void query_execution::abandon(time_point now, query_actions &actions)
{
    for (const std::uint32_t shard : m_openShards) {
        cancelActive(m_shards[shard], now, actions);
    }
    m_openShards.clear();
    m_ended = true;
}

time_point query_execution::nextTick() const
{
    if (m_ended) {
        return time_point::max();
    }
    time_point next = std::min(m_deadline, m_nextDue);
    if (m_options.policy == answer_policy::answer_in_time && !m_goodEnoughPassed) {
        next = std::min(next, m_goodEnoughAt);
    }
    return next;
}

std::optional<std::uint32_t> query_execution::positionOf(sub_request_id sub) const
{
    const std::uint64_t position = sub.value() & (MAX_SUB_REQUESTS - 1);
    if (sub.value() >> SUB_REQUEST_POSITION_BITS != m_options.number.value() || position >= m_subRequests.size()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(position);
}

sub_request_id query_execution::idOf(std::uint32_t position) const
{
    return sub_request_id((m_options.number.value() << SUB_REQUEST_POSITION_BITS) | position);
}

std::uint32_t query_execution::activePosition(sub_request_id sub) const
{
    const auto position = positionOf(sub);
    return position && m_subRequests[*position].state == sub_request_state::active ? *position : NO_POSITION;
}

bool query_execution::validateAnswer(const sub_answer &answer, std::uint32_t position)
{
    const sub_request_record &record = m_subRequests[position];
    if (record.state != sub_request_state::active) {
        (record.state == sub_request_state::cancelled ? m_dropped.cancelled : m_dropped.duplicate) += 1;
        return false;
    }
    if (answer.shard.value() != record.shard) {
        m_dropped.wrongShard += 1;
        return false;
    }
    if (answer.snapshot != m_plan->snapshot) {
        m_dropped.wrongSnapshot += 1;
        return false;
    }
    if (answer.itemsSeen > m_plan->shards[record.shard].items) {
        m_dropped.tooManyItems += 1;
        return false;
    }
    return true;
}

void query_execution::endSubRequest(std::uint32_t position, sub_request_state state)
{
    sub_request_record &record = m_subRequests[position];
    record.state = state;
    m_shards[record.shard].removeRunning(position);
}

void query_execution::cancelActive(shard_progress &shard, time_point now, query_actions &actions)
{
    for (std::uint8_t index = 0; index < shard.inFlight; ++index) {
        const std::uint32_t position = shard.running[index].position;
        sub_request_record &record = m_subRequests[position];
        record.state = sub_request_state::cancelled;
        actions.cancels.push_back({idOf(position), m_plan->shards[record.shard].candidates[record.candidate], now - record.sentAt});
    }
    shard.inFlight = 0;
}

void query_execution::attemptShard(std::uint32_t shard, time_point now, query_actions &actions)
{
    shard_progress &progress = m_shards[shard];
    const auto candidate = progress.pickCandidate(candidateCount(shard));
    if (!candidate || progress.sends >= m_options.hedges.maxSends || progress.inFlight >= m_options.hedges.maxInFlight
        || m_subRequests.size() >= MAX_SUB_REQUESTS) {
        handleNoCandidate(shard, now, actions);
        return;
    }
    if (m_canaryActive && shard == m_canaryShard && progress.inFlight >= MAX_CANARY_IN_FLIGHT && now < m_canaryHoldUntil) {
        scheduleAttempt(progress, m_canaryHoldUntil);
        return;
    }
    const bool extra = progress.firstSent;
    if (extra && !m_budget.tryAcquire(now)) {
        scheduleAttempt(progress, now + BUDGET_RETRY_DELAY);
        if (progress.inFlight == 0 && progress.snapshotNotHeld) {
            requestRestart(now, actions);
        }
        return;
    }
    send(shard, *candidate, extra, now, actions);
}

void query_execution::handleNoCandidate(std::uint32_t shard, time_point now, query_actions &actions)
{
    shard_progress &progress = m_shards[shard];
    if (progress.deniedCandidates != 0 && progress.sends < m_options.hedges.maxSends) {
        progress.deniedCandidates = 0;
        progress.waitsForPermit = progress.inFlight == 0;
        scheduleAttempt(progress, now + PERMIT_RETRY_DELAY);
        return;
    }
    if (progress.inFlight > 0) {
        progress.dueAt = time_point::max();
        return;
    }
    if (m_plan->shards[shard].candidates.empty()) {
        progress.lastFailure = shard_failure::no_replica;
    }
    if (progress.snapshotNotHeld) {
        requestRestart(now, actions);
    }
    closeShard(shard, shard_progress::state::missing);
}

void query_execution::send(std::uint32_t shard, std::uint8_t candidate, bool extra, time_point now, query_actions &actions)
{
    shard_progress &progress = m_shards[shard];
    const auto position = static_cast<std::uint32_t>(m_subRequests.size());
    m_subRequests.push_back({now, shard, candidate, sub_request_state::active, extra});
    progress.addRunning(position, candidate);
    if (!extra && !m_options.restarted) {
        m_uncountedFirstSendsSince = m_uncountedFirstSends == 0 ? now : m_uncountedFirstSendsSince;
        m_uncountedFirstSends += 1;
    }
    scheduleAttempt(progress, now + m_options.hedges.delay);
    if (m_canaryActive && shard == m_canaryShard && !extra) {
        m_canaryHoldUntil = now + CANARY_HOLD_DELAYS * m_options.hedges.delay;
        holdOtherShardsForCanary(m_canaryHoldUntil);
    }
    actions.sends.push_back({idOf(position), shard_index(shard), m_plan->shards[shard].candidates[candidate], m_deadline, extra});
}

void query_execution::failSubRequest(std::uint32_t position, shard_failure kind, time_point now, query_actions &actions)
{
    const sub_request_record record = m_subRequests[position];
    shard_progress &shard = m_shards[record.shard];
    endSubRequest(position, sub_request_state::ended);
    shard.lastFailure = kind;
    shard.snapshotNotHeld = shard.snapshotNotHeld || kind == shard_failure::snapshot_not_held;
    if (isPermanent(kind)) {
        shard.excludedCandidates |= 1U << record.candidate;
    }
    if (shard.inFlight > 0) {
        return;
    }
    const auto candidate = shard.pickCandidate(candidateCount(record.shard));
    if (candidate && shard.wasTried(*candidate) && shard.sends < m_options.hedges.maxSends) {
        scheduleAttempt(shard, now + RETRY_BACKOFF);
        return;
    }
    attemptShard(record.shard, now, actions);
}

void query_execution::requestRestart(time_point now, query_actions &actions)
{
    // A restarted query needs at least the latency of one sub-request, so it is pointless closer to the deadline than one hedge delay.
    if (!m_restartRequested && m_options.restartsLeft > 0 && now + m_options.hedges.delay < m_deadline) {
        m_restartRequested = true;
        actions.restartOnNewerSnapshot = true;
    }
}

void query_execution::closeShard(std::uint32_t shard, shard_progress::state state)
{
    shard_progress &progress = m_shards[shard];
    progress.currentState = state;
    const std::uint32_t last = m_openShards.back();
    m_openShards[progress.openPosition] = last;
    m_shards[last].openPosition = progress.openPosition;
    m_openShards.pop_back();
}

void query_execution::scheduleAttempt(shard_progress &shard, time_point due)
{
    shard.dueAt = due;
    m_nextDue = std::min(m_nextDue, effectiveDueTime(shard));
}

time_point query_execution::effectiveDueTime(const shard_progress &shard) const
{
    return m_hedgesHeld && shard.inFlight > 0 ? std::max(shard.dueAt, m_hedgeHoldUntil) : shard.dueAt;
}

void query_execution::runDueAttempts(time_point now, query_actions &actions)
{
    const double wantedTokens = static_cast<double>(m_openShards.size()) * m_options.hedges.tokensPerOpenShard;
    if (m_hedgesHeld && (m_openShards.size() <= m_hedgeHoldShardCount || wantedTokens <= static_cast<double>(m_budget.tokens()))) {
        m_hedgesHeld = false;
        m_nextDue = now;
    }
    if (now < m_nextDue) {
        return;
    }
    // Iterates backwards because an attempt may remove its shard from m_openShards.
    for (std::size_t index = m_openShards.size(); index-- > 0;) {
        const std::uint32_t shard = m_openShards[index];
        if (effectiveDueTime(m_shards[shard]) <= now) {
            attemptShard(shard, now, actions);
        }
    }
    m_nextDue = time_point::max();
    for (const std::uint32_t shard : m_openShards) {
        m_nextDue = std::min(m_nextDue, effectiveDueTime(m_shards[shard]));
    }
}

void query_execution::countFirstSends(time_point now)
{
    if (m_uncountedFirstSends > 0) {
        m_budget.countFirst(m_uncountedFirstSendsSince, now, m_uncountedFirstSends);
        m_uncountedFirstSends = 0;
    }
}

void query_execution::revokeFromBudget(const sub_request_record &record, time_point now)
{
    if (record.extra) {
        m_budget.revokeExtra(record.sentAt, now);
    } else if (!m_options.restarted) {
        // The denial may be counted before the send itself. The sum is then too low, never too high, until both have been counted.
        m_budget.countFirst(record.sentAt, now, -1);
    }
}

bool query_execution::canFinish(time_point now) const
{
    if (m_openShards.empty() || now >= m_deadline) {
        return true;
    }
    return m_options.policy == answer_policy::answer_in_time && now >= m_goodEnoughAt && m_coverage.shardsAnswered > 0
        && m_coverage.itemShare() >= m_options.minCoverage;
}

void query_execution::advance(time_point now, query_actions &actions)
{
    if (m_ended) {
        return;
    }
    m_goodEnoughPassed = now >= m_goodEnoughAt;
    if (!canFinish(now)) {
        runDueAttempts(now, actions);
    }
    if (canFinish(now)) {
        finish(now, actions);
    }
}

void query_execution::finish(time_point now, query_actions &actions)
{
    for (std::uint32_t shard = 0; shard < m_shards.size(); ++shard) {
        if (m_shards[shard].currentState != shard_progress::state::answered) {
            const shard_failure reason = m_shards[shard].inFlight > 0 ? shard_failure::late : m_shards[shard].lastFailure;
            m_coverage.missing.push_back({shard_index(shard), reason});
        }
    }
    abandon(now, actions);
    actions.finish = query_outcome{statusOf(m_coverage, m_options.minCoverage), m_coverage, std::move(m_results)};
}

} // namespace snipefall
