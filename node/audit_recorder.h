#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/json.h"

namespace snipefall {

/** Queues audit entries in memory, so that record() never waits for the platform; a controller thread appends them to the audit log. Thread-safe. */
class audit_recorder
{
public:
    /** Appends entries to the audit log and returns how many were stored, counted from the front. */
    using append_function = std::function<outcome<std::size_t>(const std::vector<json> &entries)>;

    audit_recorder(const node_id &node, incarnation nodeIncarnation, append_function append);

    /** Queues an entry. @p fromVersion is the configuration version before the change, or 0 if the entry concerns none. */
    void record(const std::string &who, const std::string &what, const std::string &why, std::uint64_t fromVersion = 0);
    /** Appends the queued entries to the audit log. Returns the error message, or an empty string on success. */
    std::string flush();

private:
    json makeEntry(const std::string &who, const std::string &what, const std::string &why, std::uint64_t fromVersion);

    const std::string m_node;
    const std::string m_idPrefix;
    const append_function m_append;
    std::mutex m_flushMutex; ///< Serializes flushes; held during the calls to the platform.
    std::mutex m_mutex;
    std::deque<json> m_queue;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace snipefall
