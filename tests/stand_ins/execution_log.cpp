#include "tests/stand_ins/execution_log.h"

namespace snipefall {

std::size_t execution_log::run(const std::string &requestId, std::uint64_t fencingToken)
{
    const std::lock_guard lock(m_mutex);
    entry &found = m_entries[requestId];
    if (fencingToken < found.fencingToken) {
        ++found.refused;
        return 0;
    }
    found.fencingToken = fencingToken;
    return ++found.runs;
}

json execution_log::toJson() const
{
    const std::lock_guard lock(m_mutex);
    json array = json::array();
    for (const auto &[requestId, found] : m_entries) {
        array.push_back({{"request_id", requestId}, {"runs", found.runs}, {"fencing_token", found.fencingToken}, {"refused", found.refused}});
    }
    return array;
}

} // namespace snipefall
