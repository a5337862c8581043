#include "policy/permit_rebalancing.h"

#include <algorithm>

#include "policy/placement.h"

namespace snipefall {

namespace {

using share_table = std::map<node_id, permit_share>;

bool isLive(const permit_inputs &inputs, const permit_entry &entry)
{
    const auto found = inputs.cluster->live.find(entry.node);
    return found != inputs.cluster->live.end() && found->second == entry.started;
}

permit_share shareIn(const share_table &targets, const node_id &node)
{
    const auto found = targets.find(node);
    return found == targets.end() ? permit_share{} : found->second;
}

/** Only the first live node of the ring inserts standbys and resizes the total, so that conflicting writes are rare. */
bool isFirstLive(const node_id &self, const permit_record &record, const permit_inputs &inputs)
{
    for (const auto &entry : record.ring()) {
        if (entry.node == self) {
            return true;
        }
        if (isLive(inputs, entry)) {
            return false;
        }
    }
    return false;
}

std::optional<permit_record> withMissingStandby(const node_id &self, const permit_record &record, const permit_inputs &inputs)
{
    for (const auto &member : inputs.placed) {
        if (!record.find(member.id)) {
            return record.withStandby(self, {member.id, member.started, {}});
        }
    }
    return std::nullopt;
}

std::optional<permit_record> withShareAtLimit(const permit_entry &own, const permit_record &record, const permit_share &limit)
{
    const auto total = record.total();
    const auto share = (own.share + (limit - total)) - (total - limit);
    if (share == own.share) {
        return std::nullopt;
    }
    return record.withShare(own.node, share);
}

std::optional<permit_record> handOver(const permit_entry &own, const permit_record &record, const permit_inputs &inputs, const share_table &targets)
{
    const auto excess = own.share - shareIn(targets, own.node);
    for (const auto &entry : record.ring()) {
        if (entry.node == own.node || !isLive(inputs, entry)) {
            continue;
        }
        const auto amount = elementwiseMin(excess, shareIn(targets, entry.node) - entry.share);
        if (!amount.empty()) {
            return record.withHandOver(own.node, entry.node, amount);
        }
    }
    return std::nullopt;
}

} // namespace

std::map<node_id, permit_share> targetShares(const permit_inputs &inputs)
{
    const auto &placed = inputs.placed;
    const auto holders = static_cast<std::uint32_t>(std::min(permitHolderCount(inputs.limit.slots), placed.size()));
    share_table targets;
    for (std::uint32_t i = 0; i < placed.size(); ++i) {
        permit_share share;
        if (i < holders) {
            share.slots = inputs.limit.slots / holders + (i < inputs.limit.slots % holders ? 1 : 0);
            share.connections = inputs.limit.connections / holders + (i < inputs.limit.connections % holders ? 1 : 0);
        }
        targets.emplace(placed[i].id, share);
    }
    return targets;
}

permit_record initialRecord(const permit_inputs &inputs)
{
    const auto targets = targetShares(inputs);
    std::vector<permit_entry> ring;
    for (const auto &member : inputs.placed) {
        ring.push_back({member.id, member.started, shareIn(targets, member.id)});
    }
    return {1, std::move(ring)};
}

std::optional<permit_record> nextRebalancingChange(const node_id &self, const permit_record &record, const permit_inputs &inputs)
{
    const auto *own = record.find(self);
    if (!own) {
        return std::nullopt;
    }
    const auto targets = targetShares(inputs);
    if (isFirstLive(self, record, inputs)) {
        if (auto inserted = withMissingStandby(self, record, inputs)) {
            return inserted;
        }
        if (auto resized = withShareAtLimit(*own, record, inputs.limit)) {
            return resized;
        }
    }
    if (auto handedOver = handOver(*own, record, inputs, targets)) {
        return handedOver;
    }
    const bool allPlacedInRing = std::all_of(targets.begin(), targets.end(), [&record](const auto &target) { return record.find(target.first); });
    if (own->share.empty() && !targets.contains(self) && !targets.empty() && allPlacedInRing) {
        return record.without(self);
    }
    return std::nullopt;
}

} // namespace snipefall
