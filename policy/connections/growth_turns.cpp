#include "policy/connections/growth_turns.h"

#include <algorithm>
#include <tuple>

namespace snipefall {

namespace {

/** A turn ends when the holder has grown by less than MIN_GROWTH_BYTES in this time, for example because its peer drips. */
constexpr std::chrono::milliseconds CHECK_INTERVAL(250);
constexpr std::size_t MIN_GROWTH_BYTES = 4096;
constexpr std::chrono::microseconds RETRY_DELAY_PER_HOLDER(50);
constexpr std::chrono::milliseconds MIN_RETRY_DELAY(10);
/** Shorter than CHECK_INTERVAL, so that a holder learns of its turn before that ends. */
constexpr std::chrono::milliseconds MAX_RETRY_DELAY(100);

} // namespace

bool growth_turns::mayGrow(holder asking, const need &asked, std::size_t usedBytes, std::size_t limitBytes, steady_time now)
{
    if (asked.heldBytes < SMALL_BYTES || usedBytes <= limitBytes / 4 * 3) {
        return true;
    }
    waiting_holder &entry = m_waiting[asking];
    entry.restBytes = asked.restBytes;
    if (entry.order == 0) {
        entry.order = ++m_lastOrder;
    }
    if (!m_current) {
        beginTurn(now);
    }
    endSlowTurn(now);
    if (m_current != asking) {
        return false;
    }
    m_currentBytes = asked.heldBytes;
    return usedBytes - asked.heldBytes <= limitBytes;
}

std::chrono::microseconds growth_turns::retryDelay() const
{
    return std::clamp<std::chrono::microseconds>(RETRY_DELAY_PER_HOLDER * m_waiting.size(), MIN_RETRY_DELAY, MAX_RETRY_DELAY);
}

void growth_turns::leave(holder left)
{
    if (m_waiting.erase(left) > 0 && m_current == left) {
        m_current.reset();
    }
}

void growth_turns::beginTurn(steady_time now)
{
    const auto rank = [](const auto &item) { return std::tuple(item.second.lostTurns, item.second.restBytes, item.second.order); };
    m_current = std::min_element(m_waiting.begin(), m_waiting.end(), [&](const auto &left, const auto &right) { return rank(left) < rank(right); })->first;
    m_checkedAt = now;
    m_bytesAtCheck = 0;
    m_currentBytes = 0;
}

void growth_turns::endSlowTurn(steady_time now)
{
    if (now - m_checkedAt < CHECK_INTERVAL) {
        return;
    }
    if (m_currentBytes >= m_bytesAtCheck + MIN_GROWTH_BYTES) {
        m_checkedAt = now;
        m_bytesAtCheck = m_currentBytes;
        return;
    }
    ++m_waiting[*m_current].lostTurns;
    beginTurn(now);
}

} // namespace snipefall
