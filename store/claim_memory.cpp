#include "store/claim_memory.h"

namespace snipefall {

void claim_memory::remember(const service_id &service, const request_id &id, claim_state state)
{
    const std::lock_guard lock(m_mutex);
    const auto [entry, isNew] = m_states.try_emplace({id, service}, state);
    if (!isNew && mayBecome(entry->second, state)) {
        entry->second = state;
    }
    if (m_states.size() > CLAIM_MEMORY_ENTRIES) {
        m_states.erase(m_states.begin());
    }
}

std::optional<claim_state> claim_memory::find(const service_id &service, const request_id &id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_states.find({id, service});
    return found == m_states.end() ? std::nullopt : std::optional(found->second);
}

} // namespace snipefall
