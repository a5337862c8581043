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
    std::vector<std::uint64_t> itemsPerShard; ///< Number of items of each shard of the snapshot, also of shards that this server does not hold.
    std::set<shard_index> held; ///< The shards that this server holds.

    bool operator==(const snapshot_shards &) const = default;
};

/** The state of one backend server, merged from the VM list and the status that the server reports. */
struct backend_server
{
    backend_server_id id;
    std::string address; ///< "ip:port"
    service_id service;
    version_id version;
    failure_domain_id domain;
    std::uint64_t startedMs = 0; ///< Start time in milliseconds, as reported by the server; a changed value means that the server restarted.
    bool leaving = false; ///< The server is draining or shutting down and gets no new work.
    std::map<snapshot_id, snapshot_shards> snapshots; ///< Snapshot ids sort by age: the last entry is the newest snapshot.

    bool operator==(const backend_server &) const = default;
};

} // namespace snipefall
