#include "tests/stand_ins/stand_in_backend.h"
#include "tests/stand_ins/stand_in_replies.h"

namespace snipefall {

http_response stand_in_backend::checkShard(const json &body) const
{
    const bool isWellFormed = body.contains("sub_id") && body.contains("service") && body["service"].is_string() && body.contains("snapshot")
        && body["snapshot"].is_string() && body.contains("shard") && body["shard"].is_number_unsigned() && body.contains("query");
    if (!isWellFormed) {
        return errorReply(400, "invalid_argument", "service, snapshot, shard, sub_id and query are required");
    }
    if (body["service"] != m_options.service) {
        return errorReply(404, "not_found", "this server answers for service " + m_options.service);
    }
    const std::lock_guard lock(m_mutex);
    const auto found = m_snapshots.find(body["snapshot"].get<std::string>());
    if (found == m_snapshots.end()) {
        return errorReply(409, "snapshot_not_held", "the snapshot is not held");
    }
    const auto shard = body["shard"].get<std::uint64_t>();
    if (shard >= found->second.shardsTotal || !found->second.held.contains(static_cast<std::uint32_t>(shard))) {
        return errorReply(409, "shard_not_held", "the shard is not held");
    }
    http_response response;
    response.body.clear();
    return response;
}

http_response stand_in_backend::waitWithoutResponse(const connection_registry::connection &peer)
{
    std::unique_lock lock(m_mutex);
    ++m_requestCounts["unanswered"];
    m_stateChanged.wait(lock, [&] { return m_stopping || (!m_switches.freeze && !m_connections.isSilent(peer)); });
    http_response response;
    response.closeWithoutResponse = true;
    return response;
}

http_response stand_in_backend::status() const
{
    const unsigned running = m_slotLimiter.running();
    const bool isWarmingUp = m_slotLimiter.capacity(system_clock().now()) < m_options.slots;
    const std::lock_guard lock(m_mutex);
    json snapshots = json::array();
    for (const auto &[id, content] : m_snapshots) {
        snapshots.push_back({{"id", id},
                             {"shards_total", content.shardsTotal},
                             {"items_per_shard", std::vector<std::uint64_t>(content.shardsTotal, m_options.itemsPerShard)},
                             {"shards", content.held}});
    }
    const bool reportsFalseStatus = m_switches.falseServingStatus;
    return jsonReply({{"server", m_options.serverId},
                      {"service", m_options.service},
                      {"version", m_options.version},
                      {"domain", m_options.domain},
                      {"started_ms", m_startedMs},
                      {"state", reportsFalseStatus ? "serving" : (m_switches.drain ? "draining" : (isWarmingUp ? "cold" : "serving"))},
                      {"running", reportsFalseStatus ? 0U : running},
                      {"slots", m_options.slots},
                      {"connections", m_options.connections},
                      {"snapshots", snapshots}});
}

std::string stand_in_backend::control(const json &switches)
{
    const std::lock_guard lock(m_mutex);
    backend_switches next = m_switches;
    std::string problem = next.apply(switches);
    if (problem.empty() && switches.contains("silent") && !switches["silent"].is_boolean()) {
        problem = "silent must be a boolean";
    }
    if (problem.empty() && switches.contains("cold") && (!switches["cold"].is_object() || jsonValue<long>(switches["cold"], "ramp_ms", -1) < 0)) {
        problem = "cold must be an object with a number ramp_ms of at least 0";
    }
    if (problem.empty()) {
        problem = applySnapshots(switches);
    }
    if (!problem.empty()) {
        return problem;
    }
    m_switches = next;
    if (switches.contains("bad")) {
        m_badModeSetAt = system_clock().now();
    }
    if (switches.contains("silent")) {
        m_connections.setSeenConnectionsSilent(switches["silent"].get<bool>());
    }
    if (switches.contains("cold")) {
        m_slotLimiter.startWarmUp(system_clock().now(), std::chrono::milliseconds(jsonValue<long>(switches["cold"], "ramp_ms", 0)));
    }
    if (jsonValue(switches, "new_start_time", false)) {
        m_startedMs = std::max(m_startedMs + 1, wallClockMs());
    }
    m_stateChanged.notify_all();
    return {};
}

std::string stand_in_backend::applySnapshots(const json &switches)
{
    std::map<std::string, snapshot> next = m_snapshots;
    if (switches.contains("drop_snapshot")) {
        if (!switches["drop_snapshot"].is_string()) {
            return "drop_snapshot must be a string";
        }
        next.erase(switches["drop_snapshot"].get<std::string>());
    }
    if (switches.contains("add_snapshot")) {
        const json &added = switches["add_snapshot"];
        const std::string id = added.is_string() ? added.get<std::string>() : jsonValue<std::string>(added, "id", "");
        if (id.empty()) {
            return "add_snapshot must be an id or {\"id\":..,\"shards\":N,\"held\":[..]}";
        }
        snapshot newSnapshot{jsonValue<std::uint32_t>(added, "shards", m_options.shards), m_options.held};
        if (added.is_object() && added.contains("held")) {
            newSnapshot.held.clear();
            for (const json &shard : added["held"]) {
                if (!shard.is_number_unsigned()) {
                    return "add_snapshot.held must be an array of shard numbers";
                }
                newSnapshot.held.insert(shard.get<std::uint32_t>());
            }
        }
        newSnapshot.held.erase(newSnapshot.held.lower_bound(newSnapshot.shardsTotal), newSnapshot.held.end());
        next[id] = std::move(newSnapshot);
    }
    m_snapshots = std::move(next);
    return {};
}

json stand_in_backend::state() const
{
    const json runs = m_executions.toJson();
    const std::lock_guard lock(m_mutex);
    return {{"server", m_options.serverId},
            {"switches", m_switches.toJson()},
            {"requests", m_requestCounts},
            {"running", m_slotLimiter.running()},
            {"max_running", m_slotLimiter.maxRunning()},
            {"max_present", m_slotLimiter.maxConcurrent()},
            {"connections_open", connection_registry::countOpen(m_options.port)},
            {"max_connections", m_maxConnections},
            {"connections_seen", m_connections.seen()},
            {"runs", runs}};
}

} // namespace snipefall
