#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "core/json.h"

namespace snipefall {

/** Runs of non-idempotent requests by request id; tests prove at-most-once execution with it. */
class execution_log
{
public:
    /** Counts a run; returns its number, or 0 if @p fencingToken is lower than one already seen for the request. */
    std::size_t run(const std::string &requestId, std::uint64_t fencingToken);
    json toJson() const;

private:
    struct entry
    {
        std::size_t runs = 0;
        std::uint64_t fencingToken = 0;
        std::size_t refused = 0;
    };
    mutable std::mutex m_mutex;
    std::map<std::string, entry> m_entries;
};

} // namespace snipefall
