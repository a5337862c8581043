#pragma once

#include <map>
#include <optional>

#include "policy/permit_inputs.h"
#include "policy/permit_record.h"

namespace snipefall {

/** Returns the share that each placed node should have; nodes beyond the number of holders are standbys with an empty share. */
std::map<node_id, permit_share> targetShares(const permit_inputs &inputs);

/** Returns the first record of a service, with all placed nodes in the ring. */
permit_record initialRecord(const permit_inputs &inputs);

/**
 * Returns the next change by which @p self moves the record towards the placement, or none if it has nothing to change.
 *
 * A node only hands over from its own share, resizes it so that the total matches the limit, inserts a standby directly after itself, or removes itself.
 * Every change that ends a promise between a holder and its successor is thus written by one of the two, which stops relying on it or granting it.
 */
std::optional<permit_record> nextRebalancingChange(const node_id &self, const permit_record &record, const permit_inputs &inputs);

} // namespace snipefall
