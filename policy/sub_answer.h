#pragma once

#include <cstdint>
#include <string>

#include "core/ids.h"

namespace snipefall {

/** The answer of a backend server to one sub-request, as it names itself. */
struct sub_answer
{
    sub_request_id sub;
    shard_index shard;
    snapshot_id snapshot;
    std::uint64_t itemsSeen = 0;
    std::string results;
};

} // namespace snipefall
