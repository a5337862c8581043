#include "policy/permit_holder.h"

#include <algorithm>

#include "policy/permit_rebalancing.h"

namespace snipefall {

namespace {

bool isPlaced(const permit_inputs &inputs, const node_id &node)
{
    return std::any_of(inputs.placed.begin(), inputs.placed.end(), [&node](const placement_member &member) { return member.id == node; });
}

} // namespace

permit_holder::permit_holder(node_id self, incarnation started)
    : m_self(std::move(self))
    , m_started(started)
{
}

std::vector<permit_action> permit_holder::tick(time_point now, const permit_inputs &inputs)
{
    std::vector<permit_action> actions;
    expireRequests(now);
    renew(now, inputs, actions);
    proposeChange(now, inputs, actions);
    return actions;
}

void permit_holder::expireRequests(time_point now)
{
    if (m_read && now - m_read->sentAt >= PERMIT_ANSWER_TIMEOUT) {
        m_read.reset();
        m_platformUnavailable = true;
    }
    if (m_pending && m_pending->inFlight && now - m_pending->sentAt >= PERMIT_ANSWER_TIMEOUT) {
        m_pending->inFlight = false;
        m_pending->mayBeApplied = true;
        m_platformUnavailable = true;
    }
    if (m_promiseRequest && now - m_promiseRequest->sentAt >= PERMIT_ANSWER_TIMEOUT) {
        m_promiseRequest.reset();
    }
}

void permit_holder::renew(time_point now, const permit_inputs &inputs, std::vector<permit_action> &actions)
{
    const bool participates = !m_permits || ownEntry() || m_permits->record.find(m_self) || isPlaced(inputs, m_self);
    const auto interval = participates ? PERMIT_RENEW_INTERVAL : PERMIT_IDLE_READ_INTERVAL;
    const bool busy = m_read || (m_pending && m_pending->inFlight);
    if (!busy && (!m_lastPlatformRequest || now - *m_lastPlatformRequest >= interval)) {
        if (m_pending && !m_pending->conflicted) {
            // A write whose answer was lost may still take effect. Sending it again resolves this, because both are conditional on the same version and only
            // one can succeed.
            sendPending(now, actions);
        } else {
            m_read = request_in_flight{++m_lastOperation, now};
            m_lastPlatformRequest = now;
            actions.emplace_back(read_permits{m_lastOperation});
        }
    }
    if (m_platformUnavailable) {
        requestPromise(now, actions);
    }
}

void permit_holder::sendPending(time_point now, std::vector<permit_action> &actions)
{
    m_pending->operation = ++m_lastOperation;
    m_pending->sentAt = now;
    m_pending->inFlight = true;
    m_lastPlatformRequest = now;
    actions.emplace_back(write_permits{m_lastOperation, m_pending->permits});
}

void permit_holder::requestPromise(time_point now, std::vector<permit_action> &actions)
{
    if (m_promiseRequest || !ownEntry() || (m_lastPromiseRequest && now - *m_lastPromiseRequest < PERMIT_RENEW_INTERVAL)) {
        return;
    }
    const auto *successor = m_permits->record.successorOf(m_self);
    if (!successor) {
        return;
    }
    if (m_pending) {
        // The pending write may already have changed the successor, and a promise of the old successor does not bind the new one.
        const auto *next = m_pending->permits.record.successorOf(m_self);
        if (!next || next->node != successor->node) {
            return;
        }
    }
    m_promiseRequest = request_in_flight{++m_lastOperation, now};
    m_lastPromiseRequest = now;
    actions.emplace_back(ask_promise{m_lastOperation, successor->node, {m_self, m_started, *m_permits}});
}

void permit_holder::proposeChange(time_point now, const permit_inputs &inputs, std::vector<permit_action> &actions)
{
    if (m_pending) {
        return;
    }
    m_handOverCap.reset();
    if (!m_permits || m_platformUnavailable) {
        return;
    }
    const auto proposed = propose(now, inputs);
    if (!proposed) {
        return;
    }
    const auto remainingShare = ownShareIn(proposed->record);
    if (proposed->kind == change_kind::rebalance && !remainingShare.covers(inputs.inUse)) {
        m_handOverCap = remainingShare;
        return;
    }
    m_pending = pending_write{{m_permits->version, proposed->record}, proposed->kind, 0, now, true, false, false};
    sendPending(now, actions);
}

std::optional<permit_holder::proposal> permit_holder::propose(time_point now, const permit_inputs &inputs) const
{
    const auto *own = ownEntry();
    if (!own) {
        return proposeAsNonHolder(inputs);
    }
    if (!m_lease.valid(now)) {
        return std::nullopt;
    }
    const auto *predecessor = m_permits->record.predecessorOf(m_self);
    if (predecessor && !inputs.cluster->live.contains(predecessor->node) && m_successorState.mayTakeOver(now)) {
        return proposal{m_permits->record.withTakeover(m_self), change_kind::take_over};
    }
    if (!m_lease.settled(now)) {
        return std::nullopt;
    }
    auto rebalance = nextRebalancingChange(m_self, m_permits->record, inputs);
    if (!rebalance) {
        return std::nullopt;
    }
    return proposal{std::move(*rebalance), change_kind::rebalance};
}

std::optional<permit_holder::proposal> permit_holder::proposeAsNonHolder(const permit_inputs &inputs) const
{
    const auto &record = m_permits->record;
    if (const auto *earlier = record.find(m_self)) {
        // The entry belongs to another run of this node. A restarted node replaces an entry with an earlier incarnation; a later incarnation means that this
        // process is the outdated one.
        return earlier->started < m_started ? std::optional(proposal{record.withIncarnation(m_self, m_started), change_kind::reclaim}) : std::nullopt;
    }
    if (inputs.placed.empty() || inputs.placed.front().id != m_self) {
        return std::nullopt;
    }
    if (m_permits->version == object_version(0)) {
        return proposal{initialRecord(inputs), change_kind::create};
    }
    // Holders without access to the platform may still renew their leases by promises, so the ring is replaced only when the VMs of all holders have been
    // removed, not when they are merely unreachable.
    const bool allGone = std::all_of(
        record.ring().begin(), record.ring().end(), [&inputs](const permit_entry &entry) { return inputs.cluster->deprovisioned.contains(entry.node); });
    if (!allGone) {
        return std::nullopt;
    }
    return proposal{permit_record(record.epoch() + 1, {{m_self, m_started, record.total()}}), change_kind::take_over};
}

void permit_holder::handleReadAnswer(std::uint64_t operation, time_point now, const outcome<versioned_permits> &answer)
{
    if (!m_read || m_read->operation != operation) {
        return;
    }
    const auto requested = m_read->sentAt;
    m_read.reset();
    m_platformUnavailable = !answer;
    if (!answer) {
        return;
    }
    adoptRecord(*answer, now);
    if (ownEntry() && m_permits->version == answer->version) {
        m_lease.renew(requested);
    }
}

void permit_holder::handleWriteAnswer(std::uint64_t operation, time_point now, const outcome<object_version> &answer)
{
    if (!m_pending || m_pending->operation != operation) {
        return;
    }
    m_pending->inFlight = false;
    if (answer) {
        m_platformUnavailable = false;
        const auto requested = m_pending->sentAt;
        adoptRecord({*answer, m_pending->permits.record}, now);
        if (ownEntry() && m_permits->version == *answer) {
            m_lease.renew(requested);
        }
        return;
    }
    const auto code = answer.reason().code;
    m_platformUnavailable = code != error_code::conflict;
    m_pending->mayBeApplied = m_pending->mayBeApplied || (code != error_code::conflict && code != error_code::unavailable);
    if (!m_pending->mayBeApplied) {
        m_pending.reset();
    } else if (code == error_code::conflict) {
        // The write that caused the conflict may be an earlier attempt of this same write.
        m_pending->conflicted = true;
    }
    if (code == error_code::conflict) {
        m_lastPlatformRequest.reset();
    }
}

void permit_holder::handlePromiseAnswer(std::uint64_t operation, time_point now, const outcome<promise_answer> &answer)
{
    if (!m_promiseRequest || m_promiseRequest->operation != operation) {
        return;
    }
    const auto requested = m_promiseRequest->sentAt;
    m_promiseRequest.reset();
    if (!answer) {
        return;
    }
    adoptRecord(answer->permits, now);
    if (answer->granted && ownEntry() && m_permits->version == answer->permits.version) {
        m_lease.renew(requested);
    }
}

promise_answer permit_holder::answerPromise(const promise_request &request, time_point now)
{
    adoptRecord(request.permits, now);
    promise_answer answer{false, m_permits.value_or(versioned_permits{})};
    if (!ownEntry() || !m_lease.valid(now) || m_permits->version != request.permits.version) {
        return answer;
    }
    const auto *predecessor = m_permits->record.predecessorOf(m_self);
    const bool isSuccessor = predecessor && predecessor->node == request.holder && predecessor->started == request.started;
    // The pending write may be a takeover of the requester's share or the removal of this node, and may already have taken effect.
    const bool mayNoLongerBeSuccessor = m_pending && (!m_pending->permits.record.find(request.holder) || !m_pending->permits.record.find(m_self));
    answer.granted = isSuccessor && !mayNoLongerBeSuccessor;
    if (answer.granted) {
        m_successorState.recordPromise(now);
    }
    return answer;
}

void permit_holder::adoptRecord(const versioned_permits &permits, time_point now)
{
    if (m_permits && permits.version <= m_permits->version) {
        return;
    }
    const bool wasHolder = ownEntry();
    m_permits = permits;
    bool byTakeover = false;
    if (m_pending && m_pending->permits.version < permits.version) {
        // The pending write was conditional on an older version, so it has either taken effect already or never will.
        byTakeover = m_pending->kind == change_kind::take_over || m_pending->kind == change_kind::reclaim;
        m_pending.reset();
    }
    const auto *own = ownEntry();
    if (!own || !wasHolder) {
        m_lease.drop();
    }
    if (own) {
        applyShare(now, byTakeover);
    }
    m_successorState.observe(own ? m_permits->record.predecessorOf(m_self) : nullptr, now);
}

void permit_holder::applyShare(time_point now, bool byTakeover)
{
    const auto share = ownShareIn(m_permits->record);
    if (byTakeover) {
        m_lease.changeByTakeover(share, m_successorState.usableFrom(now));
    } else {
        m_lease.change(share);
    }
}

permit_share permit_holder::usable(time_point now) const
{
    auto share = m_lease.usable(now);
    if (m_handOverCap) {
        share = elementwiseMin(share, *m_handOverCap);
    }
    if (m_pending) {
        // Either the current record or the pending one may be in force.
        share = elementwiseMin(share, ownShareIn(m_pending->permits.record));
    }
    return share;
}

const permit_entry *permit_holder::ownEntry() const
{
    const auto *entry = m_permits ? m_permits->record.find(m_self) : nullptr;
    return entry && entry->started == m_started ? entry : nullptr;
}

permit_share permit_holder::ownShareIn(const permit_record &record) const
{
    const auto *entry = record.find(m_self);
    return entry && entry->started == m_started ? entry->share : permit_share{};
}

} // namespace snipefall
