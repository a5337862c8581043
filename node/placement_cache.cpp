#include "node/placement_cache.h"

#include <algorithm>

#include "policy/placement.h"

namespace snipefall {

bool placement_cache::service_placement::includesNode(const node_id &node) const
{
    return std::any_of(placed.begin(), placed.end(), [&node](const placement_member &peer) { return peer.id == node; });
}

placement_cache::placement_cache(version_function version, members_function members)
    : m_version(std::move(version))
    , m_members(std::move(members))
{
}

std::shared_ptr<const placement_cache::service_placement> placement_cache::placementOf(const service_id &service)
{
    // Reads the version before the members, so that a change in between causes one more computation but never caches an outdated placement as current.
    const std::uint64_t version = m_version();
    if (const auto known = m_services.find(service); known && (*known)->version == version) {
        return *known;
    }
    auto computed = std::make_shared<service_placement>();
    computed->version = version;
    computed->live = membersAt(version);
    computed->placed = placeService(service, *computed->live, MAX_PERMIT_HOLDERS);
    m_services.set(service, computed);
    return computed;
}

std::shared_ptr<const std::vector<placement_member>> placement_cache::membersAt(std::uint64_t version)
{
    const std::lock_guard lock(m_mutex);
    if (!m_live || m_liveVersion < version) {
        m_live = std::make_shared<const std::vector<placement_member>>(m_members());
        m_liveVersion = version;
    }
    return m_live;
}

} // namespace snipefall
