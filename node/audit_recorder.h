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

/** Queues audit entries in memory, so that nothing waits for the platform, and appends them from a controller thread. Thread-safe. */
class audit_recorder
{
public:
    /** Appends entries and returns how many from the front are stored. */
    using append_function = std::function<outcome<std::size_t>(const std::vector<json> &entries)>;

    audit_recorder(const node_id &node, incarnation nodeIncarnation, append_function append);

    /** @p fromVersion is the version of the configuration before the change, or 0. */
    void record(const std::string &who, const std::string &what, const std::string &why, std::uint64_t fromVersion = 0);
    /** Appends what is queued. Returns the failure, or an empty string. */
    std::string flush();

private:
    json makeEntry(const std::string &who, const std::string &what, const std::string &why, std::uint64_t fromVersion);

    const std::string m_node;
    const std::string m_idPrefix;
    const append_function m_append;
    std::mutex m_flushing; ///< Held during a flush, which calls the platform.
    std::mutex m_mutex;
    std::deque<json> m_queue;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace snipefall
