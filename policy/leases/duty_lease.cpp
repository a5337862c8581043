#include "policy/leases/duty_lease.h"

#include <algorithm>

namespace snipefall {

namespace {

/** A holder that is live but shows no work for this many renewal intervals is taken for cut off. */
constexpr int SILENT_INTERVALS = 2;
constexpr unsigned ERA_SHIFT = 32;

} // namespace

duty_lease::duty_lease(node_id self, incarnation run, duration leaseTime, duration renewInterval)
    : m_self(std::move(self))
    , m_run(run)
    , m_leaseTime(leaseTime)
    , m_renewInterval(renewInterval)
{
}

duty_lease::action duty_lease::next(const peer_view &peers, duration now) const
{
    if (peers.rank >= CANDIDATES) {
        return action::none;
    }
    if (!m_known) {
        return action::read;
    }
    // Each candidate leaves time to those before it, so that usually only one of them writes.
    const duration turn = static_cast<duration::rep>(peers.rank) * m_leaseTime;
    if (!m_record || m_record->holder.empty() || m_record->holder == m_self) {
        return now - m_heardAt >= turn ? action::take : action::none;
    }
    const duration silence = peers.holderIsLive ? SILENT_INTERVALS * m_renewInterval : m_leaseTime;
    if (now - m_heardAt < silence + turn) {
        return action::none;
    }
    return action::take;
}

void duty_lease::noteRead(const std::optional<usage_record> &record, store_position position, duration now)
{
    const bool changed = !m_record || !record || position != m_position;
    m_known = true;
    m_record = record;
    m_position = position;
    m_tokenEra = std::max({m_tokenEra, position.era(), record ? record->era : store_era()});
    m_highestCounter = std::max(m_highestCounter, record ? record->counter : 0);
    if (changed) {
        m_heardAt = now;
    }
    if (isHolder()) {
        // The answer to the takeover was lost, or the store came back to it; meanwhile another node may have held the lease.
        m_sendFrom = std::max(m_sendFrom, now + m_leaseTime);
    }
}

void duty_lease::noteUnreadable(store_position position, duration now)
{
    usage_record remembered = m_record.value_or(usage_record());
    remembered.holder = node_id();
    noteRead(remembered, position, now);
}

void duty_lease::noteWritten(const usage_record &record, store_position position, duration begun, duration now)
{
    if (!isHolder()) {
        m_sendFrom = now + m_leaseTime;
    }
    m_known = true;
    m_record = record;
    m_position = position;
    m_tokenEra = std::max({m_tokenEra, position.era(), record.era});
    m_highestCounter = std::max(m_highestCounter, record.counter);
    m_heardAt = now;
    m_sendUntil = begun + m_leaseTime / 2;
}

void duty_lease::noteWriteFailed()
{
    m_known = false;
    m_sendUntil = duration::zero();
}

usage_record duty_lease::takenRecord() const
{
    usage_record taken = m_record.value_or(usage_record());
    taken.holder = m_self;
    taken.run = m_run;
    taken.counter = m_highestCounter + 1;
    taken.era = m_tokenEra;
    ++taken.renewals;
    return taken;
}

std::uint64_t duty_lease::token() const
{
    return (m_tokenEra.value() << ERA_SHIFT) + (m_record ? m_record->counter : 0);
}

} // namespace snipefall
