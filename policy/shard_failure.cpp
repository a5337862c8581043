#include "policy/shard_failure.h"

namespace snipefall {

std::string_view toString(shard_failure failure)
{
    switch (failure) {
    case shard_failure::late:
        return "late";
    case shard_failure::no_replica:
        return "no_replica";
    case shard_failure::permit_denied:
        return "permit_denied";
    case shard_failure::connect_failed:
        return "connect_failed";
    case shard_failure::closed:
        return "closed";
    case shard_failure::shed:
        return "shed";
    case shard_failure::draining:
        return "draining";
    case shard_failure::snapshot_not_held:
        return "snapshot_not_held";
    case shard_failure::no_progress:
        return "no_progress";
    case shard_failure::deadline:
        return "deadline";
    case shard_failure::invalid_answer:
        return "invalid_answer";
    }
    return "unknown";
}

} // namespace snipefall
