#include "node/sub_request_dispatcher.h"

#include "core/backend_server.h"
#include "http/fan_out_engine.h"
#include "node/sub_request_owner.h"

namespace snipefall {

namespace {

server_answer_kind answerKindOf(const sub_response &response)
{
    if (response.status == transport_status::cancelled) {
        return server_answer_kind::cancelled;
    }
    if (response.status != transport_status::ok) {
        return server_answer_kind::failed;
    }
    switch (response.httpStatus) {
    case 200:
        return server_answer_kind::success;
    case 429:
        return server_answer_kind::shed;
    case 500:
        return server_answer_kind::failed;
    default:
        // Responses for a snapshot that isn't held, or for a cancelled or expired request, don't indicate the server's load.
        return server_answer_kind::cancelled;
    }
}

} // namespace

sub_request_dispatcher::sub_request_dispatcher(fan_out_engine &engine, share_function share, observer observe)
    : m_engine(engine)
    , m_share(std::move(share))
    , m_observe(std::move(observe))
{
}

sub_request_dispatcher::shard &sub_request_dispatcher::shardOf(const backend_server_id &server)
{
    return m_shards[std::hash<backend_server_id>{}(server) % SHARDS];
}

const sub_request_dispatcher::shard &sub_request_dispatcher::shardOf(const backend_server_id &server) const
{
    return m_shards[std::hash<backend_server_id>{}(server) % SHARDS];
}

bool sub_request_dispatcher::tryStart(const service_id &service,
                                      const backend_server_id &server,
                                      sub_request_id subRequestId,
                                      time_point deadline,
                                      const std::shared_ptr<sub_request_owner> &owner)
{
    const permit_share usable = m_share(service);
    {
        shard &serverShard = shardOf(server);
        const std::lock_guard lock(serverShard.mutex);
        server_entry &entry = serverShard.servers[server];
        entry.service = service;
        if (!entry.limiter.mayStart(usable, system_clock().now())) {
            entry.waiting.emplace(std::pair(deadline, owner.get()), owner);
            return false;
        }
        entry.requests.emplace(subRequestId, running_request{owner, entry.limiter.started(usable)});
    }
    start(server, subRequestId, owner);
    return true;
}

void sub_request_dispatcher::start(const backend_server_id &server, sub_request_id subRequestId, const std::shared_ptr<sub_request_owner> &owner)
{
    const time_point started = system_clock().now();
    m_engine.submit(owner->makeRequest(subRequestId),
                    [this, server, subRequestId, owner, started](const sub_response &response) { completed(server, subRequestId, owner, started, response); });
}

void sub_request_dispatcher::cancel(const backend_server_id &server, sub_request_id subRequestId)
{
    std::shared_ptr<sub_request_owner> owner;
    {
        shard &serverShard = shardOf(server);
        const std::lock_guard lock(serverShard.mutex);
        server_entry &entry = serverShard.servers[server];
        const auto found = entry.requests.find(subRequestId);
        if (found == entry.requests.end()) {
            return;
        }
        owner = found->second.owner;
    }
    m_engine.submit(owner->makeCancel(subRequestId), [](const sub_response &) {});
}

std::optional<std::uint64_t> sub_request_dispatcher::tryAcquire(const service_id &service, const backend_server_id &server)
{
    const permit_share usable = m_share(service);
    shard &serverShard = shardOf(server);
    const std::lock_guard lock(serverShard.mutex);
    server_entry &entry = serverShard.servers[server];
    entry.service = service;
    if (!entry.limiter.mayStart(usable, system_clock().now())) {
        return std::nullopt;
    }
    return entry.limiter.started(usable);
}

void sub_request_dispatcher::release(const backend_server_id &server, std::uint64_t slot, const server_answer &answer)
{
    {
        shard &serverShard = shardOf(server);
        const std::lock_guard lock(serverShard.mutex);
        serverShard.servers[server].limiter.finished(slot, answer, system_clock().now());
    }
    offerSlots(server);
}

void sub_request_dispatcher::updateServer(const backend_server &server, bool domainExcluded)
{
    {
        shard &serverShard = shardOf(server.id);
        const std::lock_guard lock(serverShard.mutex);
        server_entry &entry = serverShard.servers[server.id];
        entry.service = server.service;
        entry.limiter.observeStartTime(server.startedMs);
        entry.limiter.setExclusions({server.leaving, domainExcluded, false});
    }
    offerSlots(server.id);
}

void sub_request_dispatcher::completed(const backend_server_id &server,
                                       sub_request_id subRequestId,
                                       const std::shared_ptr<sub_request_owner> &owner,
                                       time_point started,
                                       const sub_response &response)
{
    {
        const time_point now = system_clock().now();
        const server_answer answer{answerKindOf(response), now - started, owner->versionMedianLatency()};
        shard &serverShard = shardOf(server);
        const std::lock_guard lock(serverShard.mutex);
        server_entry &entry = serverShard.servers[server];
        const auto found = entry.requests.find(subRequestId);
        entry.limiter.finished(found->second.slot, answer, now);
        entry.requests.erase(found);
    }
    m_observe(server, response);
    owner->onCompleted(subRequestId, response);
    offerSlots(server);
}

void sub_request_dispatcher::offerSlots(const backend_server_id &server)
{
    while (const std::shared_ptr<sub_request_owner> owner = nextWaiting(server)) {
        owner->onSlotFree(server);
    }
}

std::shared_ptr<sub_request_owner> sub_request_dispatcher::nextWaiting(const backend_server_id &server)
{
    shard &serverShard = shardOf(server);
    service_id service;
    {
        const std::lock_guard lock(serverShard.mutex);
        const server_entry &entry = serverShard.servers[server];
        if (entry.waiting.empty()) {
            return nullptr;
        }
        service = entry.service;
    }
    const permit_share usable = m_share(service);
    const time_point now = system_clock().now();
    const std::lock_guard lock(serverShard.mutex);
    server_entry &entry = serverShard.servers[server];
    while (!entry.waiting.empty() && entry.limiter.mayStart(usable, now)) {
        const auto first = entry.waiting.begin();
        const bool expired = first->first.first <= now;
        std::shared_ptr<sub_request_owner> owner = first->second.lock();
        entry.waiting.erase(first);
        if (owner && !expired) {
            return owner;
        }
    }
    return nullptr;
}

unsigned sub_request_dispatcher::running(const backend_server_id &server) const
{
    const shard &serverShard = shardOf(server);
    const std::lock_guard lock(serverShard.mutex);
    const auto found = serverShard.servers.find(server);
    return found == serverShard.servers.end() ? 0 : found->second.limiter.running();
}

bool sub_request_dispatcher::isCold(const backend_server_id &server) const
{
    const shard &serverShard = shardOf(server);
    const std::lock_guard lock(serverShard.mutex);
    const auto found = serverShard.servers.find(server);
    return found == serverShard.servers.end() || found->second.limiter.cold();
}

std::size_t sub_request_dispatcher::waiting(const backend_server_id &server) const
{
    const shard &serverShard = shardOf(server);
    const std::lock_guard lock(serverShard.mutex);
    const auto found = serverShard.servers.find(server);
    return found == serverShard.servers.end() ? 0 : found->second.waiting.size();
}

} // namespace snipefall
