#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace snipefall {

/** Address, identity, held data and capacity of a fake backend server. */
struct stand_in_backend_options
{
    std::string host = "127.0.0.1";
    unsigned short port = 0;
    std::string service = "service";
    std::string version = "v1";
    std::string serverId = "server";
    std::string domain = "domain";
    std::uint32_t shards = 1; ///< Number of shards of each snapshot.
    std::set<std::uint32_t> held; ///< Numbers of the shards that this server holds; empty means all.
    std::vector<std::string> snapshots{"s1"};
    std::uint64_t itemsPerShard = 100;
    unsigned slots = 2; ///< Maximum number of requests that run concurrently.
    unsigned queue = 2; ///< Maximum number of requests that wait for a slot; further requests are shed.
    unsigned connections = 100; ///< Maximum number of open connections; further ones are closed after a 429 response to their first request.
    unsigned threads = 256; ///< Maximum number of HTTP server threads.
    long latencyMs = 5; ///< Mean latency of a request; drawn uniformly from 80% to 120% of this value.
    long connectCostMs = 0; ///< Extra latency of the first request on a connection.
    std::uint64_t seed = 1; ///< Seed of the random engine that draws latencies and faults.
    std::function<void()> crash; ///< Called when a request matches the crash_on switch; if empty, the process exits.
};

} // namespace snipefall
