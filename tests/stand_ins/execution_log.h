#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "core/json.h"

namespace snipefall {

/** Counts the executions of each non-idempotent request by request id, so that tests can verify at-most-once execution. */
class execution_log
{
public:
    /** Records an execution. Returns its number, from 1, or 0 if it is refused because a higher token than @p fencingToken was seen for the request. */
    std::size_t recordExecution(const std::string &requestId, std::uint64_t fencingToken);
    json toJson() const;

private:
    struct execution_count
    {
        std::size_t runs = 0;
        std::uint64_t fencingToken = 0;
        std::size_t refused = 0;
    };
    mutable std::mutex m_mutex;
    std::map<std::string, execution_count> m_countsByRequestId;
};

} // namespace snipefall
