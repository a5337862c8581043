#include "policy/version_router.h"

#include <algorithm>

#include "core/crypto.h"

namespace snipefall {

namespace {

/** Limits the stored facts. The moves of one service run one after another, so the oldest facts belong to moves that have ended. */
constexpr std::size_t MAX_FACTS = 64;
constexpr std::uint64_t FULL_SHARE_PERCENT = 100;

/** Combines the hashes so that each move selects other queries first; otherwise the same callers would always get new versions first. */
std::uint64_t mixHashes(std::uint64_t queryHash, std::uint64_t moveHash)
{
    std::uint64_t hash = queryHash ^ moveHash;
    hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdULL;
    hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33);
}

} // namespace

version_router::version_router(service_id service)
    : m_service(std::move(service))
{
}

void version_router::setMove(std::optional<move_record> record, bool readable)
{
    m_record = std::move(record);
    m_readable = readable;
    m_moveHash = m_record ? stableHash(m_record->moveId) : 0;
}

void version_router::addFact(const bad_version_fact &fact)
{
    if (fact.service != m_service) {
        return;
    }
    const auto same = [&](const bad_version_fact &known) { return known.moveId == fact.moveId && known.version == fact.version; };
    if (std::any_of(m_facts.begin(), m_facts.end(), same)) {
        return;
    }
    m_facts.push_back(fact);
    if (m_facts.size() > MAX_FACTS) {
        m_facts.pop_front();
    }
}

std::optional<bad_version_fact> version_router::stoppedBy() const
{
    if (!m_record) {
        return std::nullopt;
    }
    const auto stops = [&](const bad_version_fact &fact) { return fact.moveId == m_record->moveId && fact.version == m_record->to; };
    const auto found = std::find_if(m_facts.begin(), m_facts.end(), stops);
    return found == m_facts.end() ? std::nullopt : std::optional(*found);
}

version_choice version_router::decide(std::uint64_t queryHash, std::uint64_t nowMs, const version_id &configured) const
{
    if (!m_record) {
        return {configured, version_reason::configured};
    }
    if (stoppedBy()) {
        return {m_record->from, version_reason::bad_version};
    }
    switch (outcome(nowMs)) {
    case move_outcome::done:
        return {m_record->to, version_reason::move_done};
    case move_outcome::running:
        if (mixHashes(queryHash, m_moveHash) < UINT64_MAX / FULL_SHARE_PERCENT * m_record->sharePercent || m_record->sharePercent == FULL_SHARE_PERCENT) {
            return {m_record->to, version_reason::move_share};
        }
        return {m_record->from, version_reason::move_remainder};
    case move_outcome::rolled_back:
        return {m_record->from, version_reason::rolled_back};
    case move_outcome::not_yet_known:
        break;
    }
    return {m_record->from, version_reason::not_yet_known};
}

} // namespace snipefall
