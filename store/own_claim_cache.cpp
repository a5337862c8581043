#include "store/own_claim_cache.h"

namespace snipefall {

void own_claim_cache::updateState(const service_id &service, const request_id &id, claim_state state)
{
    const std::lock_guard lock(m_mutex);
    const auto [entry, isNew] = m_states.try_emplace({id, service}, state);
    if (!isNew && canTransition(entry->second, state)) {
        entry->second = state;
    }
    if (m_states.size() > MAX_OWN_CLAIM_CACHE_ENTRIES) {
        m_states.erase(m_states.begin());
    }
}

std::optional<claim_state> own_claim_cache::find(const service_id &service, const request_id &id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_states.find({id, service});
    return found == m_states.end() ? std::nullopt : std::optional(found->second);
}

} // namespace snipefall
