#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "policy/placement_member.h"

namespace snipefall {

/** The largest number of nodes that share the slots of one service. */
constexpr std::size_t MAX_HOLDERS = 3;

/** The number of nodes that share the slots of a service: min(MAX_HOLDERS, @p slotsPerServer). */
std::size_t holderCount(std::uint32_t slotsPerServer);

/**
 * The nodes of a service in order of preference, by weighted rendezvous hashing.
 *
 * Gives at most @p count members. No failure domain is used twice while another one with a placeable member is unused. One member that joins or
 * leaves changes at most one place. The result does not depend on the order of @p members.
 */
std::vector<placement_member> placeService(const service_id &service, const std::vector<placement_member> &members, std::size_t count);

/** The caller addresses of the nodes that share the slots of a service, in order of preference; empty when no member can be placed. */
std::vector<std::string> entriesFor(const service_id &service, const std::vector<placement_member> &members, std::uint32_t slotsPerServer);

} // namespace snipefall
