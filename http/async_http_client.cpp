#include "http/async_http_client.h"

#include <algorithm>

#include <boost/asio/post.hpp>

#include "http/client_connection.h"
#include "http/endpoint_text.h"

namespace snipefall {

namespace {

/** Interval of the checks for expired idle connections, and so the resolution of their timeouts. */
constexpr std::chrono::milliseconds SWEEP_INTERVAL(250);
/**
 * Idle timeout of all idle connections to a server except the most recently used one. Servers limit their number of connections and count those of a machine
 * that lost power until they detect the loss, so a node must not hold more connections than it needs.
 */
constexpr std::chrono::milliseconds SURPLUS_IDLE_TIMEOUT(1000);

} // namespace

async_http_client::async_http_client(boost::asio::io_context &loop, const async_client_options &options)
    : m_loop(loop)
    , m_options(options)
    , m_sweepTimer(loop)
{
    sweep();
}

async_http_client::~async_http_client()
{
    for (const auto &[address, pool] : m_pools) {
        for (const auto &connection : pool.idle) {
            connection->close();
        }
    }
    for (const auto &[id, connection] : m_calls) {
        connection->close();
    }
}

async_http_client::call_id async_http_client::start(client_call call, handler done)
{
    const call_id id = ++m_lastCallId;
    const auto endpoint = parseEndpoint(call.address);
    if (!endpoint) {
        boost::asio::post(m_loop, [done = std::move(done)] {
            client_result result;
            result.outcome = client_result::kind::not_sent;
            result.sentAt = std::chrono::steady_clock::now();
            done(std::move(result));
        });
        return id;
    }
    const std::string address = call.address;
    std::shared_ptr<client_connection> connection = call.newConnection ? nullptr : takeIdle(call);
    if (!connection) {
        connection = std::make_shared<client_connection>(m_loop, connection_id(++m_connectionsOpened), *endpoint, m_options);
    }
    ++m_pools[address].inUse;
    m_calls[id] = connection;
    connection->start(std::move(call), [this, id, address, connection, done = std::move(done)](client_result result, bool reusable) {
        releaseConnection(id, address, connection, reusable);
        if (result.outcome == client_result::kind::answered) {
            m_lastAnswerAt = std::chrono::steady_clock::now();
        }
        done(std::move(result));
    });
    return id;
}

void async_http_client::shortenDeadline(call_id id, std::chrono::microseconds remaining)
{
    const auto found = m_calls.find(id);
    if (found != m_calls.end()) {
        const std::shared_ptr<client_connection> connection = found->second;
        connection->shortenDeadline(remaining);
    }
}

void async_http_client::discardBody(call_id id)
{
    const auto found = m_calls.find(id);
    if (found != m_calls.end()) {
        found->second->discardBody();
    }
}

std::shared_ptr<client_connection> async_http_client::takeIdle(const client_call &call)
{
    const auto found = m_pools.find(call.address);
    if (found == m_pools.end()) {
        return nullptr;
    }
    const auto now = std::chrono::steady_clock::now();
    auto &idle = found->second.idle;
    const auto isAvoided = [&call](const client_connection &connection) {
        return std::find(call.avoidedConnections.begin(), call.avoidedConnections.end(), connection.id()) != call.avoidedConnections.end();
    };
    for (std::size_t i = idle.size(); i-- > 0;) {
        if (isAvoided(*idle[i])) {
            continue;
        }
        std::shared_ptr<client_connection> connection = idle[i];
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
        if (now < connection->reusableUntil() && connection->hasNoUnreadInput()) {
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

void async_http_client::releaseConnection(call_id id, const std::string &address, const std::shared_ptr<client_connection> &connection, bool reusable)
{
    m_calls.erase(id);
    address_pool &pool = m_pools[address];
    --pool.inUse;
    if (!reusable) {
        if (pool.inUse == 0 && pool.idle.empty()) {
            m_pools.erase(address);
        }
        return;
    }
    pool.idle.push_back(connection);
    connection->monitorIdle([this, address, weak = std::weak_ptr<client_connection>(connection)] {
        const auto found = m_pools.find(address);
        if (found == m_pools.end()) {
            return;
        }
        auto &idle = found->second.idle;
        idle.erase(std::remove(idle.begin(), idle.end(), weak.lock()), idle.end());
        if (found->second.inUse == 0 && idle.empty()) {
            m_pools.erase(found);
        }
    });
}

std::size_t async_http_client::connectionsTo(const std::string &address) const
{
    const auto found = m_pools.find(address);
    return found == m_pools.end() ? 0 : found->second.inUse + found->second.idle.size();
}

void async_http_client::closeIdle(const std::string &address)
{
    const auto found = m_pools.find(address);
    if (found == m_pools.end()) {
        return;
    }
    for (const auto &connection : found->second.idle) {
        connection->close();
    }
    found->second.idle.clear();
    if (found->second.inUse == 0) {
        m_pools.erase(found);
    }
}

void async_http_client::sweep()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto pool = m_pools.begin(); pool != m_pools.end();) {
        auto &idle = pool->second.idle;
        const auto lastUsed = idle.empty() ? nullptr : idle.back();
        const auto firstExpired = std::stable_partition(idle.begin(), idle.end(), [now, &lastUsed](const auto &item) {
            return now < item->reusableUntil() && (item == lastUsed || now - item->idleSince() < SURPLUS_IDLE_TIMEOUT);
        });
        std::for_each(firstExpired, idle.end(), [](const auto &item) { item->close(); });
        idle.erase(firstExpired, idle.end());
        pool = pool->second.inUse == 0 && idle.empty() ? m_pools.erase(pool) : std::next(pool);
    }
    m_sweepTimer.expires_after(SWEEP_INTERVAL);
    m_sweepTimer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            sweep();
        }
    });
}

} // namespace snipefall
