#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"

namespace snipefall {

/** The shards of one index snapshot, as a backend server reports them. */
struct snapshot_shards
{
    std::vector<std::uint64_t> itemsPerShard; ///< One entry for each shard of the whole snapshot.
    std::set<shard_index> held; ///< The shards that this server holds.

    bool operator==(const snapshot_shards &) const = default;
};

/** What is known of one backend server from the VM list and its own status. */
struct backend_server
{
    backend_server_id id;
    std::string address; ///< "ip:port"
    service_id service;
    version_id version;
    failure_domain_id domain;
    std::uint64_t startedMs = 0; ///< Its start time; a new one means that it restarted.
    bool leaving = false;
    std::map<snapshot_id, snapshot_shards> snapshots; ///< Ids sort by age: the last one is the newest.

    bool operator==(const backend_server &) const = default;
};

} // namespace snipefall
