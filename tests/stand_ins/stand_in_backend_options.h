#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace snipefall {

/** What a stand-in backend server holds and can bear. */
struct stand_in_backend_options
{
    std::string host = "127.0.0.1";
    unsigned short port = 0;
    std::string service = "service";
    std::string version = "v1";
    std::string serverId = "server";
    std::string domain = "domain";
    std::uint32_t shards = 1; ///< Shards of each snapshot.
    std::set<std::uint32_t> held; ///< Shards that this server holds; empty means all.
    std::vector<std::string> snapshots{"s1"};
    std::uint64_t itemsPerShard = 100;
    unsigned slots = 2; ///< Requests that run at the same time.
    unsigned queue = 2; ///< Requests that wait for a slot; further ones are shed.
    unsigned connections = 100; ///< Requests on connections beyond this number are shed.
    unsigned threads = 256; ///< Threads of the HTTP server.
    long latencyMs = 5; ///< Mean time of a request; uniform between 80% and 120% of it.
    long connectCostMs = 0; ///< Added to the first request of a connection.
    std::uint64_t seed = 1; ///< Seed of latencies and fault probabilities.
    std::function<void()> crash; ///< Called by crash_on; ends the process when empty.
};

} // namespace snipefall
