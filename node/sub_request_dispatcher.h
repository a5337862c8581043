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
 * Keeps each backend server within its concurrency limit.
 *
 * An owner whose sub-request finds no free slot waits for the server, the earliest deadline first. It chooses what to send only when a slot is
 * free, so that a shard with several replicas goes to whichever is free first. State is kept in shards by server, each under its own lock;
 * owners are called without a lock held.
 */
class sub_request_dispatcher
{
public:
    /** What this node may use of each backend server of a service at this time. */
    using share_function = std::function<permit_share(const service_id &)>;
    /** Told of each response, for the crash detection. */
    using observer = std::function<void(const backend_server_id &, const sub_response &)>;

    sub_request_dispatcher(fan_out_engine &engine, share_function share, observer observe);

    /** Sends the sub-request if the server has a free slot; else returns false and lets the owner wait for one until @p deadline. */
    bool tryStart(
        const service_id &service, const backend_server_id &server, sub_request_id sub, time_point deadline, const std::shared_ptr<sub_request_owner> &owner);

    /**
     * Asks the server to stop a running request.
     *
     * A running request keeps its place in the limit until its response or deadline: closing the connection at once would let the node send
     * the next request while the server still works on this one.
     */
    void cancel(const backend_server_id &server, sub_request_id sub);

    /** Takes a slot for a request that is sent by other means; nothing if none is free. */
    std::optional<std::uint64_t> tryAcquire(const service_id &service, const backend_server_id &server);
    /** Gives a slot of tryAcquire() back. */
    void release(const backend_server_id &server, std::uint64_t slot, const server_answer &answer);

    /** Takes over what the topology knows of a server, and offers its slots if it can be used. */
    void updateServer(const backend_server &server, bool domainOut);
    /** Offers free slots to waiting owners, after a limit may have grown. */
    void offerSlots(const backend_server_id &server);

    unsigned running(const backend_server_id &server) const;
    /** Servers that are in slow start. */
    bool isCold(const backend_server_id &server) const;
    /** Owners that wait for a slot. */
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
    void start(const backend_server_id &server, sub_request_id sub, const std::shared_ptr<sub_request_owner> &owner);
    void completed(
        const backend_server_id &server, sub_request_id sub, const std::shared_ptr<sub_request_owner> &owner, time_point started, const sub_response &response);
    std::shared_ptr<sub_request_owner> nextWaiting(const backend_server_id &server);

    fan_out_engine &m_engine;
    share_function m_share;
    observer m_observe;
    std::array<shard, SHARDS> m_shards;
};

} // namespace snipefall
