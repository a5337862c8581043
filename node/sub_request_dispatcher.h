#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "core/clock.h"
#include "core/ids.h"
#include "http/sub_request.h"
#include "policy/server_answer.h"
#include "policy/server_limiter.h"

namespace snipefall {

class fan_out_engine;
class sub_request_owner;
struct backend_server;

/**
 * Sends sub-requests to backend servers and keeps each server within its concurrency limit.
 *
 * If a server has no free slot, the owner of the sub-request is queued for that server, the earliest deadline first. The owner chooses what to send
 * only when a slot is free, so that the sub-request of a shard with several replicas goes to the replica that is free first. State is partitioned by
 * server, each partition with its own lock; owners are called without a lock held.
 */
class sub_request_dispatcher
{
public:
    /** Returns how many slots and connections this node may currently use on each backend server of a service. */
    using share_function = std::function<permit_share(const service_id &)>;
    /** Receives each response, for the crash detection. */
    using observer = std::function<void(const backend_server_id &, const sub_response &)>;

    sub_request_dispatcher(fan_out_engine &engine, share_function share, observer observe);

    /** Sends the sub-request if the server has a free slot; otherwise queues the owner for a slot until @p deadline and returns false. */
    bool tryStart(const service_id &service,
                  const backend_server_id &server,
                  sub_request_id subRequestId,
                  time_point deadline,
                  const std::shared_ptr<sub_request_owner> &owner);

    /**
     * Asks the server to stop processing a sub-request.
     *
     * The sub-request keeps its slot until its response or deadline: closing the connection at once would free the slot, and the node would send
     * the next request while the server still processes this one.
     */
    void cancel(const backend_server_id &server, sub_request_id subRequestId);

    /** Acquires a slot for a request that the dispatcher doesn't send itself. Returns nullopt if no slot is free. */
    std::optional<std::uint64_t> tryAcquire(const service_id &service, const backend_server_id &server);
    /** Releases a slot acquired with tryAcquire(); @p answer adjusts the server's concurrency limit. */
    void release(const backend_server_id &server, std::uint64_t slot, const server_answer &answer);

    /** Applies the topology's data about a server to its limit, and offers free slots to waiting owners. */
    void updateServer(const backend_server &server, bool domainExcluded);
    /** Offers free slots to waiting owners, after a limit may have grown. */
    void offerSlots(const backend_server_id &server);

    unsigned running(const backend_server_id &server) const;
    /** Returns whether the server is in slow start or unknown. */
    bool isCold(const backend_server_id &server) const;
    /** Number of owners that wait for a slot of the server. */
    std::size_t waiting(const backend_server_id &server) const;

private:
    static constexpr std::size_t SHARDS = 16;

    struct running_request
    {
        std::shared_ptr<sub_request_owner> owner;
        std::uint64_t slot = 0;
    };

    struct server_entry
    {
        service_id service;
        server_limiter limiter{0};
        std::map<std::pair<time_point, sub_request_owner *>, std::weak_ptr<sub_request_owner>> waiting;
        std::unordered_map<sub_request_id, running_request> requests;
    };

    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<backend_server_id, server_entry> servers;
    };

    shard &shardOf(const backend_server_id &server);
    const shard &shardOf(const backend_server_id &server) const;
    void start(const backend_server_id &server, sub_request_id subRequestId, const std::shared_ptr<sub_request_owner> &owner);
    void completed(const backend_server_id &server,
                   sub_request_id subRequestId,
                   const std::shared_ptr<sub_request_owner> &owner,
                   time_point started,
                   const sub_response &response);
    std::shared_ptr<sub_request_owner> nextWaiting(const backend_server_id &server);

    fan_out_engine &m_engine;
    share_function m_share;
    observer m_observe;
    std::array<shard, SHARDS> m_shards;
};

} // namespace snipefall
