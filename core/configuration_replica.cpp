#include "core/configuration_replica.h"

#include <algorithm>

#include "core/configuration_parser.h"

namespace snipefall {

configuration_replica::configuration_replica()
    : m_current(std::make_shared<const configuration>())
{
}

configuration_offer configuration_replica::offer(std::span<const configuration_patch> patches)
{
    std::vector<const configuration_patch *> sorted;
    for (const configuration_patch &patch : patches) {
        sorted.push_back(&patch);
    }
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto *a, const auto *b) { return a->baseVersion < b->baseVersion; });

    const std::lock_guard lock(m_mutex);
    configuration_offer result;
    for (const configuration_patch *patch : sorted) {
        if (patch->version() <= m_state.version) {
            result.diverged = result.diverged || conflictsWithKept(*patch);
            continue;
        }
        if (patch->baseVersion != m_state.version) {
            result.missing = m_state.version.next();
            break;
        }
        applyNext(*patch);
        ++result.applied;
    }
    return finishOffer(std::move(result));
}

configuration_offer configuration_replica::offerSnapshot(const configuration_snapshot &snapshot)
{
    const std::lock_guard lock(m_mutex);
    configuration_offer result;
    result.diverged = snapshot.version == m_state.version && snapshot.digest != m_state.digest;
    if (snapshot.version > m_state.version) {
        m_state = snapshot;
        m_patches.clear();
        result.applied = 1;
    }
    return finishOffer(std::move(result));
}

configuration_offer configuration_replica::offerDelta(const configuration_delta &delta)
{
    configuration_offer first;
    if (delta.snapshot) {
        first = offerSnapshot(*delta.snapshot);
    }
    configuration_offer result = offer(delta.patches);
    result.applied += first.applied;
    result.diverged = result.diverged || first.diverged;
    return result;
}

configuration_delta configuration_replica::patchesAfter(config_version version) const
{
    const std::lock_guard lock(m_mutex);
    configuration_delta delta;
    if (version >= m_state.version) {
        return delta;
    }
    if (m_patches.empty() || m_patches.front().baseVersion > version) {
        delta.snapshot = m_state;
        return delta;
    }
    const auto first = m_patches.begin() + static_cast<std::ptrdiff_t>(version.value() - m_patches.front().baseVersion.value());
    delta.patches.assign(first, m_patches.end());
    return delta;
}

configuration_position configuration_replica::position() const
{
    const std::lock_guard lock(m_mutex);
    return {m_state.version, m_state.digest};
}

configuration_snapshot configuration_replica::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_state;
}

std::shared_ptr<const configuration> configuration_replica::current() const
{
    const std::lock_guard lock(m_currentMutex);
    return m_current;
}

void configuration_replica::applyNext(const configuration_patch &patch)
{
    m_state.apply(patch);
    m_patches.push_back(patch);
    if (m_patches.size() > REPLICA_PATCHES) {
        m_patches.pop_front();
    }
}

bool configuration_replica::conflictsWithKept(const configuration_patch &patch) const
{
    if (m_patches.empty() || patch.baseVersion < m_patches.front().baseVersion) {
        return false;
    }
    return m_patches[patch.baseVersion.value() - m_patches.front().baseVersion.value()] != patch;
}

configuration_offer configuration_replica::finishOffer(configuration_offer result)
{
    result.version = m_state.version;
    if (current()->version == m_state.version) {
        return result;
    }
    parsed<configuration> next = configuration_parser::parse(m_state.document, m_state.version);
    if (!next.value) {
        result.invalidFields = std::move(next.invalidFields);
        return result;
    }
    const std::lock_guard lock(m_currentMutex);
    m_current = std::make_shared<const configuration>(std::move(*next.value));
    return result;
}

} // namespace snipefall
