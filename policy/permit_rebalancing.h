#pragma once

#include <map>
#include <optional>

#include "policy/permit_record.h"
#include "policy/permit_surroundings.h"

namespace snipefall {

/** The share that each placed node should have; nodes of the ring beyond the slots are standbys with an empty share. */
std::map<node_id, permit_share> targetShares(const permit_surroundings &around);

/** The first record of a service, with all placed nodes. */
permit_record initialRecord(const permit_surroundings &around);

/**
 * The next voluntary change that @p self should make to bring the record nearer to the placement; none when it has nothing to do.
 *
 * A node only gives from its own share, inserts a standby directly behind itself, or removes itself, so that both sides of each promise know of it.
 */
std::optional<permit_record> voluntaryChange(const node_id &self, const permit_record &record, const permit_surroundings &around);

} // namespace snipefall
