#include "node/audit_recorder.h"

#include <algorithm>

#include "core/clock.h"

namespace snipefall {

namespace {

// Bounds the memory while the platform is unavailable. Further entries are dropped, and the number of dropped entries is recorded.
constexpr std::size_t MAX_QUEUED_ENTRIES = 2000;
// Limits each text field, so that 200 entries fit into one object of the platform.
constexpr std::size_t MAX_TEXT_BYTES = 1000;
constexpr std::size_t MAX_BATCH_ENTRIES = 100;

} // namespace

audit_recorder::audit_recorder(const node_id &node, incarnation nodeIncarnation, append_function append)
    : m_node(node.str())
    , m_idPrefix(node.str() + "-" + std::to_string(nodeIncarnation.value()) + "-")
    , m_append(std::move(append))
{
}

json audit_recorder::makeEntry(const std::string &who, const std::string &what, const std::string &why, std::uint64_t fromVersion)
{
    return {{"id", m_idPrefix + std::to_string(++m_lastId)},
            {"at_ms", wallClockMs()},
            {"node", m_node},
            {"who", who.substr(0, MAX_TEXT_BYTES)},
            {"what", what.substr(0, MAX_TEXT_BYTES)},
            {"why", why.substr(0, MAX_TEXT_BYTES)},
            {"from_version", fromVersion}};
}

void audit_recorder::record(const std::string &who, const std::string &what, const std::string &why, std::uint64_t fromVersion)
{
    const std::lock_guard lock(m_mutex);
    if (m_queue.size() >= MAX_QUEUED_ENTRIES) {
        ++m_dropped;
        return;
    }
    m_queue.push_back(makeEntry(who, what, why, fromVersion));
}

std::string audit_recorder::flush()
{
    const std::lock_guard flushLock(m_flushMutex);
    for (;;) {
        std::vector<json> batch;
        {
            const std::lock_guard lock(m_mutex);
            if (m_dropped > 0 && m_queue.size() < MAX_QUEUED_ENTRIES) {
                m_queue.push_back(makeEntry("node " + m_node, "audit.dropped", std::to_string(m_dropped) + " entries did not fit into the queue", 0));
                m_dropped = 0;
            }
            batch.assign(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(std::min(MAX_BATCH_ENTRIES, m_queue.size())));
        }
        if (batch.empty()) {
            return {};
        }
        const outcome<std::size_t> stored = m_append(batch);
        if (!stored) {
            return stored.reason().message;
        }
        const std::lock_guard lock(m_mutex);
        m_queue.erase(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(*stored));
    }
}

} // namespace snipefall
