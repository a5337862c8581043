#include "node/status_parser.h"

namespace snipefall {

namespace {

outcome<snapshot_shards> parseSnapshot(const json &document)
{
    if (!document.is_object()) {
        return failure{error_code::invalid_argument, "a snapshot is not an object"};
    }
    const auto total = jsonValue<std::uint64_t>(document, "shards_total", 0);
    const json items = document.value("items_per_shard", json::array());
    const json shardIndexes = document.value("shards", json::array());
    if (total == 0 || !items.is_array() || items.size() != total || !shardIndexes.is_array()) {
        return failure{error_code::invalid_argument, "a snapshot's shard map is malformed"};
    }
    snapshot_shards shards;
    for (const json &count : items) {
        if (!count.is_number_unsigned()) {
            return failure{error_code::invalid_argument, "items_per_shard must contain only non-negative integers"};
        }
        shards.itemsPerShard.push_back(count.get<std::uint64_t>());
    }
    for (const json &index : shardIndexes) {
        if (!index.is_number_unsigned() || index.get<std::uint64_t>() >= total) {
            return failure{error_code::invalid_argument, "a held shard is outside of the snapshot"};
        }
        shards.held.insert(shard_index(index.get<std::uint32_t>()));
    }
    return shards;
}

} // namespace

outcome<backend_server> parseStatus(const json &document, backend_server server)
{
    if (!document.is_object() || jsonValue<std::string>(document, "server", "") != server.id.str()
        || jsonValue<std::string>(document, "service", "") != server.service.str()) {
        return failure{error_code::invalid_argument, "the status names another server or service"};
    }
    server.version = version_id(jsonValue<std::string>(document, "version", server.version.str()));
    server.startedMs = jsonValue<std::uint64_t>(document, "started_ms", 0);
    const auto state = jsonValue<std::string>(document, "state", "");
    server.leaving = server.leaving || state == "draining" || state == "leaving";
    server.snapshots.clear();
    const json snapshots = document.value("snapshots", json::array());
    if (!snapshots.is_array()) {
        return failure{error_code::invalid_argument, "snapshots is not an array"};
    }
    for (const json &entry : snapshots) {
        const auto id = jsonValue<std::string>(entry, "id", "");
        const outcome<snapshot_shards> shards = parseSnapshot(entry);
        if (id.empty() || !shards) {
            return failure{error_code::invalid_argument, id.empty() ? "a snapshot has no id" : shards.reason().message};
        }
        server.snapshots.emplace(snapshot_id(id), *shards);
    }
    return server;
}

} // namespace snipefall
