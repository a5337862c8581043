#pragma once

#include <string_view>

#include "core/ids.h"

namespace snipefall {

/**
 * The score of @p node for @p key in weighted rendezvous hashing; the node with the highest score wins.
 *
 * Each node wins a share of the keys proportional to its @p weight (Schindelhauer and Schomaker). All nodes compute the same score.
 */
double rendezvousScore(std::string_view key, const node_id &node, double weight);

} // namespace snipefall
