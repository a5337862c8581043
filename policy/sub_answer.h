#pragma once

#include <cstdint>
#include <string>

#include "core/ids.h"

namespace snipefall {

/** Answer of a backend server to one sub-request. The ids are those stated in the answer and have yet to be checked. */
struct sub_answer
{
    sub_request_id sub;
    shard_index shard;
    snapshot_id snapshot;
    std::uint64_t itemsSeen = 0;
    std::string results;
};

} // namespace snipefall
