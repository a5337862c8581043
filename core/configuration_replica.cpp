#include "core/configuration_replica.h"

#include <algorithm>

#include "core/configuration_parser.h"

namespace snipefall {

configuration_replica::configuration_replica()
    : m_current(std::make_shared<const configuration>())
{
}

configuration_offer_result configuration_replica::offer(std::span<const configuration_patch> patches)
{
    std::vector<const configuration_patch *> sorted;
    for (const configuration_patch &patch : patches) {
        sorted.push_back(&patch);
    }
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto *a, const auto *b) { return a->baseVersion < b->baseVersion; });

    const std::lock_guard lock(m_mutex);
    configuration_offer_result result;
    for (const configuration_patch *patch : sorted) {
        if (patch->version() <= m_snapshot.version) {
            result.diverged = result.diverged || conflictsWithRetained(*patch);
            continue;
        }
        if (patch->baseVersion != m_snapshot.version) {
            result.missing = m_snapshot.version.next();
            break;
        }
        applyPatch(*patch);
        ++result.applied;
    }
    return publishConfiguration(std::move(result));
}

configuration_offer_result configuration_replica::offerSnapshot(const configuration_snapshot &snapshot)
{
    const std::lock_guard lock(m_mutex);
    configuration_offer_result result;
    result.diverged = snapshot.version == m_snapshot.version && snapshot.digest != m_snapshot.digest;
    if (snapshot.version > m_snapshot.version) {
        m_snapshot = snapshot;
        m_retainedPatches.clear();
        result.applied = 1;
    }
    return publishConfiguration(std::move(result));
}

configuration_offer_result configuration_replica::offerDelta(const configuration_delta &delta)
{
    configuration_offer_result snapshotResult;
    if (delta.snapshot) {
        snapshotResult = offerSnapshot(*delta.snapshot);
    }
    configuration_offer_result result = offer(delta.patches);
    result.applied += snapshotResult.applied;
    result.diverged = result.diverged || snapshotResult.diverged;
    return result;
}

configuration_delta configuration_replica::patchesAfter(config_version version) const
{
    const std::lock_guard lock(m_mutex);
    configuration_delta delta;
    if (version >= m_snapshot.version) {
        return delta;
    }
    if (m_retainedPatches.empty() || m_retainedPatches.front().baseVersion > version) {
        delta.snapshot = m_snapshot;
        return delta;
    }
    const auto first = m_retainedPatches.begin() + static_cast<std::ptrdiff_t>(version.value() - m_retainedPatches.front().baseVersion.value());
    delta.patches.assign(first, m_retainedPatches.end());
    return delta;
}

configuration_position configuration_replica::position() const
{
    const std::lock_guard lock(m_mutex);
    return {m_snapshot.version, m_snapshot.digest};
}

configuration_snapshot configuration_replica::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_snapshot;
}

std::shared_ptr<const configuration> configuration_replica::current() const
{
    const std::lock_guard lock(m_currentMutex);
    return m_current;
}

void configuration_replica::applyPatch(const configuration_patch &patch)
{
    m_snapshot.apply(patch);
    m_retainedPatches.push_back(patch);
    if (m_retainedPatches.size() > MAX_RETAINED_PATCHES) {
        m_retainedPatches.pop_front();
    }
}

bool configuration_replica::conflictsWithRetained(const configuration_patch &patch) const
{
    if (m_retainedPatches.empty() || patch.baseVersion < m_retainedPatches.front().baseVersion) {
        return false;
    }
    return m_retainedPatches[patch.baseVersion.value() - m_retainedPatches.front().baseVersion.value()] != patch;
}

configuration_offer_result configuration_replica::publishConfiguration(configuration_offer_result result)
{
    result.version = m_snapshot.version;
    if (current()->version == m_snapshot.version) {
        return result;
    }
    parsed<configuration> next = configuration_parser::parse(m_snapshot.document, m_snapshot.version);
    if (!next.value) {
        result.invalidFields = std::move(next.invalidFields);
        return result;
    }
    const std::lock_guard lock(m_currentMutex);
    m_current = std::make_shared<const configuration>(std::move(*next.value));
    return result;
}

} // namespace snipefall
