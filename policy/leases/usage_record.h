#pragma once

#include <cstdint>
#include <map>

#include "core/ids.h"
#include "core/json.h"
#include "core/outcome.h"
#include "policy/organisations/usage_counts.h"
#include "policy/organisations/usage_window.h"
#include "policy/recovery/store_era.h"

namespace snipefall {

/** What the platform's store keeps of the usage report: who sends it, and the counts that were decided. */
struct usage_record
{
    node_id holder; ///< The node that sends the reports; empty if it has given up the lease.
    incarnation run; ///< Of the holder.
    std::uint64_t counter = 0; ///< Rises by one with each new holder.
    store_era era; ///< The highest era of the store that a holder has seen; upper part of the fencing token.
    std::uint64_t renewals = 0; ///< Rises with each write, so that each changes the record.
    usage_window newest; ///< The newest window whose counts were decided.
    std::map<usage_window, usage_counts> unsent; ///< Decided counts that are not known to have been sent.
};

json encodeUsageRecord(const usage_record &record);
/** Fails with invalid_argument if a field is missing or malformed; the record may come from another writer. */
outcome<usage_record> decodeUsageRecord(const json &spec);

} // namespace snipefall
