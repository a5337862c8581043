#include "policy/snapshot_planner.h"

#include <algorithm>
#include <map>

namespace snipefall {

namespace {

/** The shards of one snapshot and the usable servers that hold them. */
struct snapshot_replicas
{
    const std::vector<std::uint64_t> *itemsPerShard = nullptr;
    std::vector<std::vector<server_index>> holders; ///< Indexed by shard.
};

bool isUsable(const backend_server &server, const planning_limits &limits)
{
    const bool inExcludedDomain = limits.excludedDomains != nullptr && limits.excludedDomains->count(server.domain) > 0;
    const bool excluded = limits.excluded != nullptr && limits.excluded->count(server.id) > 0;
    return !server.leaving && !inExcludedDomain && !excluded && server.version == limits.version;
}

void addHolder(snapshot_replicas &view, const snapshot_shards &shards, server_index server)
{
    if (view.itemsPerShard == nullptr) {
        view.itemsPerShard = &shards.itemsPerShard;
        view.holders.resize(shards.itemsPerShard.size());
    }
    // Ignores a server that reports a different shard map for the same snapshot id: its item counts would falsify the coverage.
    if (shards.itemsPerShard != *view.itemsPerShard) {
        return;
    }
    for (const shard_index shard : shards.held) {
        view.holders[shard.value()].push_back(server);
    }
}

std::uint64_t countItemsWithHolder(const snapshot_replicas &view)
{
    std::uint64_t items = 0;
    for (std::size_t shard = 0; shard < view.holders.size(); ++shard) {
        items += view.holders[shard].empty() ? 0 : (*view.itemsPerShard)[shard];
    }
    return items;
}

bool holdsAllShards(const snapshot_replicas &view)
{
    return std::none_of(view.holders.begin(), view.holders.end(), [](const auto &holders) { return holders.empty(); });
}

const std::pair<const snapshot_id, snapshot_replicas> *chooseSnapshot(const std::map<snapshot_id, snapshot_replicas> &views)
{
    const std::pair<const snapshot_id, snapshot_replicas> *best = nullptr;
    double bestShare = -1.0;
    for (auto entry = views.rbegin(); entry != views.rend(); ++entry) {
        if (holdsAllShards(entry->second)) {
            return &*entry;
        }
        std::uint64_t total = 0;
        for (const std::uint64_t items : *entry->second.itemsPerShard) {
            total += items;
        }
        const double share = total == 0 ? 0.0 : static_cast<double>(countItemsWithHolder(entry->second)) / static_cast<double>(total);
        if (share > bestShare) {
            bestShare = share;
            best = &*entry;
        }
    }
    return best;
}

} // namespace

planned_query planQuery(const std::vector<backend_server> &servers, const planning_limits &limits)
{
    planned_query planned;
    auto plan = std::make_shared<query_plan>();
    std::map<snapshot_id, snapshot_replicas> views;
    for (const backend_server &server : servers) {
        if (!isUsable(server, limits)) {
            continue;
        }
        const server_index index(static_cast<std::uint32_t>(plan->servers.size()));
        plan->servers.push_back(server.id);
        planned.addresses.push_back(server.address);
        for (const auto &[id, shards] : server.snapshots) {
            if (limits.newerThan.empty() || id > limits.newerThan) {
                addHolder(views[id], shards, index);
            }
        }
    }
    if (const auto *chosen = chooseSnapshot(views)) {
        plan->snapshot = chosen->first;
        for (std::size_t shard = 0; shard < chosen->second.holders.size(); ++shard) {
            shard_plan entry{(*chosen->second.itemsPerShard)[shard], chosen->second.holders[shard]};
            if (!entry.candidates.empty()) {
                const auto first = static_cast<std::ptrdiff_t>((limits.rotation + shard) % entry.candidates.size());
                std::rotate(entry.candidates.begin(), entry.candidates.begin() + first, entry.candidates.end());
            }
            plan->shards.push_back(std::move(entry));
        }
    }
    planned.plan = std::move(plan);
    return planned;
}

planned_query planRestart(const std::vector<backend_server> &servers, const planning_limits &limits)
{
    planned_query planned = planQuery(servers, limits);
    if (!planned.empty()) {
        return planned;
    }
    planning_limits anySnapshot = limits;
    anySnapshot.newerThan = snapshot_id();
    return planQuery(servers, anySnapshot);
}

} // namespace snipefall
