#include "policy/connections/growth_turns.h"

namespace snipefall {

namespace {

/** A turn ends when the holder has grown by less than MIN_GROWTH_BYTES in this time, for example because its peer drips. */
constexpr std::chrono::milliseconds CHECK_INTERVAL(250);
constexpr std::size_t MIN_GROWTH_BYTES = 4096;

} // namespace

bool growth_turns::mayGrow(holder asking, std::size_t heldBytes, std::size_t usedBytes, std::size_t limitBytes, steady_time now)
{
    if (heldBytes < SMALL_BYTES || usedBytes <= limitBytes / 4 * 3) {
        return true;
    }
    if (m_orders.count(asking) == 0) {
        m_orders[asking] = ++m_lastOrder;
        m_waiting[m_lastOrder] = asking;
        if (m_waiting.size() == 1) {
            beginTurn(now);
        }
    }
    if (now - m_checkedAt >= CHECK_INTERVAL) {
        const auto [order, current] = *m_waiting.begin();
        if (m_turnBytes < m_bytesAtCheck + MIN_GROWTH_BYTES && current != asking) {
            m_waiting.erase(order);
            m_orders[current] = ++m_lastOrder;
            m_waiting[m_lastOrder] = current;
            beginTurn(now);
        } else {
            m_checkedAt = now;
            m_bytesAtCheck = m_turnBytes;
        }
    }
    if (m_waiting.begin()->second != asking) {
        return false;
    }
    m_turnBytes = heldBytes;
    return usedBytes - heldBytes <= limitBytes;
}

void growth_turns::leave(holder left)
{
    const auto found = m_orders.find(left);
    if (found == m_orders.end()) {
        return;
    }
    const bool hadTurn = m_waiting.begin()->second == left;
    m_waiting.erase(found->second);
    m_orders.erase(found);
    if (hadTurn) {
        beginTurn(m_checkedAt);
    }
}

void growth_turns::beginTurn(steady_time now)
{
    m_checkedAt = now;
    m_bytesAtCheck = 0;
    m_turnBytes = 0;
}

} // namespace snipefall
