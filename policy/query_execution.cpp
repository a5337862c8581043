#include "policy/query_execution.h"

#include <algorithm>
#include <cmath>

#include "core/invariant.h"

namespace snipefall {

namespace {

/** Sub-requests of one query; the bits above hold the number of the query. */
constexpr unsigned SUB_NUMBER_BITS = 20;
constexpr std::uint32_t MAX_SUBS = 1U << SUB_NUMBER_BITS;
constexpr std::uint32_t NO_SUB = ~0U;
/** Tokens are earned by other queries, so a refused attempt is tried again soon. */
constexpr duration BUDGET_RETRY_DELAY = std::chrono::milliseconds(5);
/** About the time that a backend server's slot is held. */
constexpr duration PERMIT_RETRY_DELAY = std::chrono::milliseconds(10);
/** Before a server that failed is tried a second time. */
constexpr duration RETRY_BACKOFF = std::chrono::milliseconds(10);

/**
 * The other shards wait this many hedge delays for a canary. Its hedge is sent after one and usually releases them; a crash that shows late on a busy
 * machine must not meet all servers.
 */
constexpr int CANARY_HOLD_DELAYS = 3;
/** A canary and one hedge. */
constexpr std::uint8_t CANARY_IN_FLIGHT = 2;
/** A shorter delay would make the driver tick without rest. */
constexpr duration MIN_HEDGE_DELAY = std::chrono::milliseconds(1);

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
    m_subs.reserve(m_shards.size() + m_shards.size() / 8 + 8);
    m_holdCount = static_cast<std::size_t>(std::ceil(static_cast<double>(m_shards.size()) * m_options.hedges.holdShare));
}

void query_execution::start(time_point now, query_actions &out)
{
    SNIPEFALL_INVARIANT(!m_started, "a query starts once");
    m_started = true;
    m_deadline = now + m_options.deadline;
    m_goodEnough = now + m_options.goodEnough;
    m_holdUntil = now + std::chrono::duration_cast<duration>(m_options.hedges.delay * m_options.hedges.holdDelays);
    m_open.resize(m_shards.size());
    for (std::uint32_t shard = 0; shard < m_shards.size(); ++shard) {
        m_open[shard] = shard;
        m_shards[shard].openPosition = shard;
    }
    if (m_options.canary && m_open.size() > 1) {
        startCanary(now, out);
    } else {
        for (std::uint32_t shard = 0; shard < m_coverage.shardsTotal; ++shard) {
            attempt(shard, now, out);
        }
    }
    settle(now, out);
}

void query_execution::startCanary(time_point now, query_actions &out)
{
    for (const std::uint32_t shard : m_open) {
        if (!m_plan->shards[shard].candidates.empty()) {
            m_canaryRuns = true;
            m_canaryShard = shard;
            holdForCanary(time_point::max());
            attempt(shard, now, out);
            return;
        }
    }
}

void query_execution::holdForCanary(time_point until)
{
    for (const std::uint32_t shard : m_open) {
        if (shard != m_canaryShard && !m_shards[shard].firstSent) {
            setDue(m_shards[shard], until);
        }
    }
}

bool query_execution::passCanary(std::optional<shard_failure> failed, time_point now)
{
    if (!m_canaryRuns) {
        return true;
    }
    m_canaryRuns = false;
    if (failed == shard_failure::closed) {
        for (const std::uint32_t shard : m_open) {
            m_shards[shard].lastFailure = shard_failure::closed;
        }
        return false;
    }
    holdForCanary(now);
    return true;
}

std::optional<duration> query_execution::subAnswer(sub_answer answer, time_point now, query_actions &out)
{
    countSentFirsts(now);
    const auto position = positionOf(answer.sub);
    if (!position) {
        m_dropped.unknownSub += 1;
        return std::nullopt;
    }
    if (!acceptable(answer, *position)) {
        if (m_subs[*position].state == sub_state::active) {
            failAttempt(*position, shard_failure::invalid_answer, now, out);
            settle(now, out);
        }
        return std::nullopt;
    }
    const std::uint32_t index = m_subs[*position].shard;
    endSub(*position, sub_state::ended);
    cancelActive(m_shards[index], now, out);
    leaveOpen(index, shard_progress::state::answered);
    m_results[index] = std::move(answer.results);
    m_coverage.shardsAnswered += 1;
    m_coverage.itemsSeen += answer.itemsSeen;
    passCanary(std::nullopt, now);
    settle(now, out);
    return now - m_subs[*position].sentAt;
}

void query_execution::subFailure(sub_request_id sub, shard_failure kind, time_point now, query_actions &out)
{
    countSentFirsts(now);
    const std::uint32_t position = activePosition(sub);
    if (position == NO_SUB) {
        return;
    }
    if (!passCanary(kind, now)) {
        endSub(position, sub_state::ended);
        finish(now, out);
        return;
    }
    failAttempt(position, kind, now, out);
    settle(now, out);
}

void query_execution::permitDenied(sub_request_id sub, time_point now, query_actions &out)
{
    const std::uint32_t position = activePosition(sub);
    if (position == NO_SUB) {
        return;
    }
    const sub_record record = m_subs[position];
    shard_progress &shard = m_shards[record.shard];
    endSub(position, sub_state::ended);
    shard.tried &= ~(1U << record.candidate);
    shard.denied |= 1U << record.candidate;
    shard.sends -= 1;
    if (!record.extra) {
        shard.firstSent = false;
        shard.lastFailure = shard_failure::permit_denied;
    }
    revoke(record, now);
    if (m_canaryRuns && record.shard == m_canaryShard) {
        holdForCanary(time_point::max());
    }
    attempt(record.shard, now, out);
    settle(now, out);
}

void query_execution::permitAvailable(server_index server, time_point now, query_actions &out)
{
    if (m_ended) {
        return;
    }
    for (const std::uint32_t shard : m_open) {
        shard_progress &progress = m_shards[shard];
        if (!progress.waiting || (m_canaryRuns && shard != m_canaryShard)) {
            continue;
        }
        const std::vector<server_index> &candidates = m_plan->shards[shard].candidates;
        const auto position = static_cast<std::size_t>(std::find(candidates.begin(), candidates.end(), server) - candidates.begin());
        if (position >= candidateCount(shard) || (progress.excluded >> position & 1U) != 0) {
            continue;
        }
        progress.denied = ~(1U << position);
        const std::size_t sent = out.sends.size();
        attempt(shard, now, out);
        progress.denied = 0;
        if (out.sends.size() > sent) {
            break;
        }
    }
    settle(now, out);
}

void query_execution::tick(time_point now, query_actions &out)
{
    countSentFirsts(now);
    if (m_started) {
        settle(now, out);
    }
}

void query_execution::abandon(time_point now, query_actions &out)
{
    for (const std::uint32_t shard : m_open) {
        cancelActive(m_shards[shard], now, out);
    }
    m_open.clear();
    m_ended = true;
}

time_point query_execution::nextTick() const
{
    if (m_ended) {
        return time_point::max();
    }
    time_point next = std::min(m_deadline, m_nextDue);
    if (m_options.policy == answer_policy::answer_in_time && !m_goodEnoughPassed) {
        next = std::min(next, m_goodEnough);
    }
    return next;
}

std::optional<std::uint32_t> query_execution::positionOf(sub_request_id sub) const
{
    const std::uint64_t position = sub.value() & (MAX_SUBS - 1);
    if (sub.value() >> SUB_NUMBER_BITS != m_options.number.value() || position >= m_subs.size()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(position);
}

sub_request_id query_execution::idOf(std::uint32_t position) const
{
    return sub_request_id((m_options.number.value() << SUB_NUMBER_BITS) | position);
}

std::uint32_t query_execution::activePosition(sub_request_id sub) const
{
    const auto position = positionOf(sub);
    return position && m_subs[*position].state == sub_state::active ? *position : NO_SUB;
}

bool query_execution::acceptable(const sub_answer &answer, std::uint32_t position)
{
    const sub_record &record = m_subs[position];
    if (record.state != sub_state::active) {
        (record.state == sub_state::cancelled ? m_dropped.cancelled : m_dropped.duplicate) += 1;
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

void query_execution::endSub(std::uint32_t position, sub_state state)
{
    sub_record &record = m_subs[position];
    record.state = state;
    m_shards[record.shard].removeRunning(position);
}

void query_execution::cancelActive(shard_progress &shard, time_point now, query_actions &out)
{
    for (std::uint8_t index = 0; index < shard.inFlight; ++index) {
        const std::uint32_t position = shard.running[index].position;
        sub_record &record = m_subs[position];
        record.state = sub_state::cancelled;
        out.cancels.push_back({idOf(position), m_plan->shards[record.shard].candidates[record.candidate], now - record.sentAt});
    }
    shard.inFlight = 0;
}

void query_execution::attempt(std::uint32_t shard, time_point now, query_actions &out)
{
    shard_progress &progress = m_shards[shard];
    const auto candidate = progress.pickCandidate(candidateCount(shard));
    if (!candidate || progress.sends >= m_options.hedges.maxSends || progress.inFlight >= m_options.hedges.maxInFlight || m_subs.size() >= MAX_SUBS) {
        attemptWithoutCandidate(shard, now, out);
        return;
    }
    if (m_canaryRuns && shard == m_canaryShard && progress.inFlight >= CANARY_IN_FLIGHT && now < m_canaryUntil) {
        setDue(progress, m_canaryUntil);
        return;
    }
    const bool extra = progress.firstSent;
    if (extra && !m_budget.tryAcquire(now)) {
        setDue(progress, now + BUDGET_RETRY_DELAY);
        if (progress.inFlight == 0 && progress.notHeld) {
            wantRestart(now, out);
        }
        return;
    }
    send(shard, *candidate, extra, now, out);
}

void query_execution::attemptWithoutCandidate(std::uint32_t shard, time_point now, query_actions &out)
{
    shard_progress &progress = m_shards[shard];
    if (progress.denied != 0 && progress.sends < m_options.hedges.maxSends) {
        progress.denied = 0;
        progress.waiting = progress.inFlight == 0;
        setDue(progress, now + PERMIT_RETRY_DELAY);
        return;
    }
    if (progress.inFlight > 0) {
        progress.dueAt = time_point::max();
        return;
    }
    if (m_plan->shards[shard].candidates.empty()) {
        progress.lastFailure = shard_failure::no_replica;
    }
    if (progress.notHeld) {
        wantRestart(now, out);
    }
    leaveOpen(shard, shard_progress::state::missing);
}

void query_execution::send(std::uint32_t shard, std::uint8_t candidate, bool extra, time_point now, query_actions &out)
{
    shard_progress &progress = m_shards[shard];
    const auto position = static_cast<std::uint32_t>(m_subs.size());
    m_subs.push_back({now, shard, candidate, sub_state::active, extra});
    progress.addRunning(position, candidate);
    if (!extra && !m_options.restarted) {
        m_uncountedSince = m_uncountedFirsts == 0 ? now : m_uncountedSince;
        m_uncountedFirsts += 1;
    }
    setDue(progress, now + m_options.hedges.delay);
    if (m_canaryRuns && shard == m_canaryShard && !extra) {
        m_canaryUntil = now + CANARY_HOLD_DELAYS * m_options.hedges.delay;
        holdForCanary(m_canaryUntil);
    }
    out.sends.push_back({idOf(position), shard_index(shard), m_plan->shards[shard].candidates[candidate], m_deadline, extra});
}

void query_execution::failAttempt(std::uint32_t position, shard_failure kind, time_point now, query_actions &out)
{
    const sub_record record = m_subs[position];
    shard_progress &shard = m_shards[record.shard];
    endSub(position, sub_state::ended);
    shard.lastFailure = kind;
    shard.notHeld = shard.notHeld || kind == shard_failure::snapshot_not_held;
    if (isPermanent(kind)) {
        shard.excluded |= 1U << record.candidate;
    }
    if (shard.inFlight > 0) {
        return;
    }
    const auto candidate = shard.pickCandidate(candidateCount(record.shard));
    if (candidate && shard.wasTried(*candidate) && shard.sends < m_options.hedges.maxSends) {
        setDue(shard, now + RETRY_BACKOFF);
        return;
    }
    attempt(record.shard, now, out);
}

void query_execution::wantRestart(time_point now, query_actions &out)
{
    // A restart needs about the time of one sub-request.
    if (!m_restartWanted && m_options.restartsLeft > 0 && now + m_options.hedges.delay < m_deadline) {
        m_restartWanted = true;
        out.restartOnNewerSnapshot = true;
    }
}

void query_execution::leaveOpen(std::uint32_t shard, shard_progress::state state)
{
    shard_progress &progress = m_shards[shard];
    progress.current = state;
    const std::uint32_t last = m_open.back();
    m_open[progress.openPosition] = last;
    m_shards[last].openPosition = progress.openPosition;
    m_open.pop_back();
}

void query_execution::setDue(shard_progress &shard, time_point due)
{
    shard.dueAt = due;
    m_nextDue = std::min(m_nextDue, effectiveDue(shard));
}

time_point query_execution::effectiveDue(const shard_progress &shard) const
{
    return m_held && shard.inFlight > 0 ? std::max(shard.dueAt, m_holdUntil) : shard.dueAt;
}

void query_execution::runDue(time_point now, query_actions &out)
{
    const double wantedTokens = static_cast<double>(m_open.size()) * m_options.hedges.openTokenFactor;
    if (m_held && (m_open.size() <= m_holdCount || wantedTokens <= static_cast<double>(m_budget.tokens()))) {
        m_held = false;
        m_nextDue = now;
    }
    if (now < m_nextDue) {
        return;
    }
    // Backwards, because an attempt may remove its shard from m_open.
    for (std::size_t index = m_open.size(); index-- > 0;) {
        const std::uint32_t shard = m_open[index];
        if (effectiveDue(m_shards[shard]) <= now) {
            attempt(shard, now, out);
        }
    }
    m_nextDue = time_point::max();
    for (const std::uint32_t shard : m_open) {
        m_nextDue = std::min(m_nextDue, effectiveDue(m_shards[shard]));
    }
}

void query_execution::countSentFirsts(time_point now)
{
    if (m_uncountedFirsts > 0) {
        m_budget.countFirst(m_uncountedSince, now, m_uncountedFirsts);
        m_uncountedFirsts = 0;
    }
}

void query_execution::revoke(const sub_record &record, time_point now)
{
    if (record.extra) {
        m_budget.revokeExtra(record.sentAt, now);
    } else if (!m_options.restarted) {
        // May come before its own count; the sum is right as soon as both are in, and too low until then.
        m_budget.countFirst(record.sentAt, now, -1);
    }
}

bool query_execution::mayEnd(time_point now) const
{
    if (m_open.empty() || now >= m_deadline) {
        return true;
    }
    return m_options.policy == answer_policy::answer_in_time && now >= m_goodEnough && m_coverage.shardsAnswered > 0
        && m_coverage.itemShare() >= m_options.minCoverage;
}

void query_execution::settle(time_point now, query_actions &out)
{
    if (m_ended) {
        return;
    }
    m_goodEnoughPassed = now >= m_goodEnough;
    if (!mayEnd(now)) {
        runDue(now, out);
    }
    if (mayEnd(now)) {
        finish(now, out);
    }
}

void query_execution::finish(time_point now, query_actions &out)
{
    for (std::uint32_t shard = 0; shard < m_shards.size(); ++shard) {
        if (m_shards[shard].current != shard_progress::state::answered) {
            const shard_failure reason = m_shards[shard].inFlight > 0 ? shard_failure::late : m_shards[shard].lastFailure;
            m_coverage.missing.push_back({shard_index(shard), reason});
        }
    }
    abandon(now, out);
    out.finish = query_outcome{statusOf(m_coverage, m_options.minCoverage), m_coverage, std::move(m_results)};
}

} // namespace snipefall
