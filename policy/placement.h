#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "policy/placement_member.h"

namespace snipefall {

/** The largest number of nodes among which the slots of one service are divided. */
constexpr std::size_t MAX_PERMIT_HOLDERS = 3;

/** The number of nodes among which the slots of a service are divided: min(MAX_PERMIT_HOLDERS, @p slotsPerServer). */
std::size_t permitHolderCount(std::uint32_t slotsPerServer);

/**
 * Assigns a service to nodes by weighted rendezvous hashing and returns them in order of preference.
 *
 * Returns at most @p count members. No failure domain is used twice while another one that has a member with a positive weight is unused. When a member joins
 * or leaves, at most one of the returned members changes. The result does not depend on the order of @p members.
 */
std::vector<placement_member> placeService(const service_id &service, const std::vector<placement_member> &members, std::size_t count);

/** The caller addresses of the nodes that share the slots of a service, in order of preference; empty if no member has a positive weight. */
std::vector<std::string> entryAddressesOf(const service_id &service, const std::vector<placement_member> &members, std::uint32_t slotsPerServer);

} // namespace snipefall
