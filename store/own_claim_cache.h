#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "core/ids.h"
#include "store/claim_state.h"

namespace snipefall {

/** Entries of an own_claim_cache, about 20 MB; the oldest request ids are evicted first. */
constexpr std::size_t MAX_OWN_CLAIM_CACHE_ENTRIES = 100'000;

/**
 * Caches the states of the claims made by this process, so that a repeated request gets the correct state while the platform is down. Thread-safe.
 *
 * not_run marks claims that were refused while the result of their write was unknown: this process never runs these requests.
 */
class own_claim_cache
{
public:
    void updateState(const service_id &service, const request_id &id, claim_state state);
    std::optional<claim_state> find(const service_id &service, const request_id &id) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::pair<request_id, service_id>, claim_state> m_states;
};

} // namespace snipefall
