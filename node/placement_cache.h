#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "blackboard/sharded_table.h"
#include "core/ids.h"
#include "policy/placement_member.h"

namespace snipefall {

/** Caches the placement of each service, which is computed once per version of the membership. Thread-safe. */
class placement_cache
{
public:
    struct service_placement
    {
        std::uint64_t version = 0; ///< The membership version for which the placement was computed.
        std::shared_ptr<const std::vector<placement_member>> live; ///< All live nodes; shared by all services. Never null.
        std::vector<placement_member> placed; ///< At most MAX_PERMIT_HOLDERS nodes in order of preference.

        bool includesNode(const node_id &node) const;
    };
    /** Returns a number that changes whenever the result of the members_function changes. Must be cheap, because each look-up calls it. */
    using version_function = std::function<std::uint64_t()>;
    using members_function = std::function<std::vector<placement_member>()>;

    placement_cache(version_function version, members_function members);

    /** Returns the placement of a service; never null. */
    std::shared_ptr<const service_placement> placementOf(const service_id &service);

private:
    std::shared_ptr<const std::vector<placement_member>> membersAt(std::uint64_t version);

    version_function m_version;
    members_function m_members;
    sharded_table<service_id, std::shared_ptr<const service_placement>> m_services;
    std::mutex m_mutex; ///< Guards the members below.
    std::shared_ptr<const std::vector<placement_member>> m_live;
    std::uint64_t m_liveVersion = 0;
};

} // namespace snipefall
