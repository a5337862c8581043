#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "core/ids.h"
#include "store/claim_state.h"

namespace snipefall {

/** Own claims that a node remembers, about 20 MB; the oldest ids are forgotten first. */
constexpr std::size_t CLAIM_MEMORY_ENTRIES = 100'000;

/**
 * What this process knows of its own claims, so that repeats are answered truthfully while the platform is down. Thread-safe.
 *
 * not_run stands for claims that were given up because their write could not be settled: this process never runs them.
 */
class claim_memory
{
public:
    void remember(const service_id &service, const request_id &id, claim_state state);
    std::optional<claim_state> find(const service_id &service, const request_id &id) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::pair<request_id, service_id>, claim_state> m_states;
};

} // namespace snipefall
