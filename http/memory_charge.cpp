#include "http/memory_charge.h"

#include <utility>

#include "http/memory_account.h"

namespace snipefall {

memory_charge::memory_charge(std::shared_ptr<memory_account> account)
    : m_account(std::move(account))
{
    if (m_account) {
        m_number = ++m_account->m_lastNumber;
    }
}

memory_charge::~memory_charge()
{
    set(0);
    stopGrowing();
}

void memory_charge::set(std::size_t bytes)
{
    const std::size_t before = std::exchange(m_bytes, bytes);
    if (m_account && bytes != before) {
        m_account->change(before, bytes);
    }
}

void memory_charge::stopGrowing()
{
    if (m_account) {
        m_account->m_turns.leave(m_number);
    }
}

bool memory_charge::mayGrow(std::optional<std::uint64_t> restBytes)
{
    if (!m_account) {
        return true;
    }
    const growth_turns::need asked{m_bytes, static_cast<std::size_t>(restBytes.value_or(growth_turns::UNKNOWN_BYTES))};
    return m_account->m_turns.mayGrow(m_number, asked, m_account->used(), m_account->limit(), std::chrono::steady_clock::now());
}

std::chrono::microseconds memory_charge::retryDelay() const
{
    return m_account ? m_account->m_turns.retryDelay() : std::chrono::microseconds::zero();
}

} // namespace snipefall
