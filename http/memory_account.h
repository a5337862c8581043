#pragma once

#include <cstddef>
#include <functional>
#include <limits>

#include "policy/connections/growth_turns.h"

namespace snipefall {

/**
 * The memory that the connections of a process hold for their peers: what was read and not handled yet, and what was not sent yet.
 *
 * It is charged through objects of memory_charge. When it runs short, holders of more than a small message wait, one of them excepted, so that it can be
 * completed; the handler decides which connections of clients are closed.
 */
class memory_account
{
public:
    void setLimit(std::size_t bytes) { m_limit = bytes; }
    std::size_t limit() const { return m_limit; }
    std::size_t used() const { return m_used; }
    bool isShort() const { return m_used > m_limit; }
    /** Whether so much is used that connections of clients that have stalled are closed. */
    bool isNearlyShort() const { return m_used > m_limit / 4 * 3; }
    /** Sets the handler that is called whenever a charge leaves the account nearly short. It must not close connections before it returns. */
    void onShort(std::function<void()> handler) { m_onShort = std::move(handler); }

private:
    friend class memory_charge;

    void change(std::size_t from, std::size_t to);

    std::size_t m_limit = std::numeric_limits<std::size_t>::max();
    std::size_t m_used = 0;
    growth_turns::holder m_lastNumber = 0;
    growth_turns m_turns; ///< Knows the charges by their numbers.
    std::function<void()> m_onShort;
};

} // namespace snipefall
