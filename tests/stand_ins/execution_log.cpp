#include "tests/stand_ins/execution_log.h"

namespace snipefall {

std::size_t execution_log::recordExecution(const std::string &requestId, std::uint64_t fencingToken)
{
    const std::lock_guard lock(m_mutex);
    execution_count &count = m_countsByRequestId[requestId];
    if (fencingToken < count.fencingToken) {
        ++count.refused;
        return 0;
    }
    count.fencingToken = fencingToken;
    return ++count.runs;
}

json execution_log::toJson() const
{
    const std::lock_guard lock(m_mutex);
    json array = json::array();
    for (const auto &[requestId, count] : m_countsByRequestId) {
        array.push_back({{"request_id", requestId}, {"runs", count.runs}, {"fencing_token", count.fencingToken}, {"refused", count.refused}});
    }
    return array;
}

} // namespace snipefall
