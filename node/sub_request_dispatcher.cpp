#include "node/sub_request_dispatcher.h"

#include "http/fan_out_engine.h"
#include "node/sub_request_owner.h"

namespace snipefall {

sub_request_dispatcher::sub_request_dispatcher(fan_out_engine &engine, limit_function limit, observer observe)
    : m_engine(engine)
    , m_limit(std::move(limit))
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

bool sub_request_dispatcher::tryStart(const backend_server_id &server, sub_request_id sub, time_point deadline, const std::shared_ptr<sub_request_owner> &owner)
{
    const unsigned limit = m_limit(server);
    {
        shard &home = shardOf(server);
        const std::lock_guard lock(home.mutex);
        server_entry &entry = home.servers[server];
        if (entry.running >= limit) {
            entry.waiting.emplace(std::pair(deadline, owner.get()), owner);
            return false;
        }
        ++entry.running;
        entry.requests.emplace(sub, owner);
    }
    start(server, sub, owner);
    return true;
}

void sub_request_dispatcher::start(const backend_server_id &server, sub_request_id sub, const std::shared_ptr<sub_request_owner> &owner)
{
    const time_point started = system_clock().now();
    m_engine.submit(owner->makeRequest(sub),
                    [this, server, sub, owner, started](const sub_response &response) { completed(server, sub, owner, started, response); });
}

void sub_request_dispatcher::cancel(const backend_server_id &server, sub_request_id sub)
{
    std::shared_ptr<sub_request_owner> owner;
    {
        shard &home = shardOf(server);
        const std::lock_guard lock(home.mutex);
        server_entry &entry = home.servers[server];
        const auto found = entry.requests.find(sub);
        if (found == entry.requests.end()) {
            return;
        }
        owner = found->second;
    }
    m_engine.submit(owner->makeCancel(sub), [](const sub_response &) {});
}

void sub_request_dispatcher::completed(
    const backend_server_id &server, sub_request_id sub, const std::shared_ptr<sub_request_owner> &owner, time_point started, const sub_response &response)
{
    {
        shard &home = shardOf(server);
        const std::lock_guard lock(home.mutex);
        server_entry &entry = home.servers[server];
        entry.requests.erase(sub);
        --entry.running;
    }
    m_observe(server, response, system_clock().now() - started);
    owner->onCompleted(sub, response);
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
    const unsigned limit = m_limit(server);
    const time_point now = system_clock().now();
    shard &home = shardOf(server);
    const std::lock_guard lock(home.mutex);
    server_entry &entry = home.servers[server];
    while (entry.running < limit && !entry.waiting.empty()) {
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
    const shard &home = shardOf(server);
    const std::lock_guard lock(home.mutex);
    const auto found = home.servers.find(server);
    return found == home.servers.end() ? 0 : found->second.running;
}

std::size_t sub_request_dispatcher::waiting(const backend_server_id &server) const
{
    const shard &home = shardOf(server);
    const std::lock_guard lock(home.mutex);
    const auto found = home.servers.find(server);
    return found == home.servers.end() ? 0 : found->second.waiting.size();
}

} // namespace snipefall
