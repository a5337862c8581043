#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "core/outcome.h"
#include "store/call_purpose.h"
#include "store/object.h"
#include "store/vm_entry.h"
#include "store/watch_result.h"

namespace snipefall {

/** In-memory object store with fault injection, for tests and for stand_in_platform. */
class memory_object_store
{
public:
    outcome<object> read(call_purpose purpose, const std::string &key);
    outcome<object_version> write(call_purpose purpose, const std::string &key, std::string value, object_version expected);
    outcome<std::vector<object>> list(call_purpose purpose, const std::string &prefix);
    outcome<watch_result> watch(call_purpose purpose, const std::string &prefix, std::uint64_t afterRevision, long timeoutMs);
    outcome<std::vector<vm_entry>> listVms();

    void setVms(std::vector<vm_entry> vms);
    /** While down, every call fails with unavailable and nothing is written. */
    void setDown(bool down);
    /** Makes the next @p count writes take effect but fail with unknown_result. */
    void loseWriteResponses(int count);
    /** The total number of calls so far, of all kinds. */
    std::uint64_t calls() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    struct stored
    {
        object value;
        std::uint64_t revision = 0;
    };
    std::map<std::string, stored> m_objects;
    std::vector<vm_entry> m_vms;
    std::uint64_t m_revision = 0;
    std::uint64_t m_calls = 0;
    int m_responsesToLose = 0;
    bool m_down = false;
};

} // namespace snipefall
