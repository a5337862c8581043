#pragma once

#include <compare>

#include "core/ids.h"
#include "policy/answer_outcome.h"

namespace snipefall {

/** The key by which a node_account groups its answer_totals. */
struct answer_totals_key
{
    service_id service;
    version_id version;
    snapshot_id snapshot;
    answer_outcome outcome = answer_outcome::failed;

    auto operator<=>(const answer_totals_key &) const = default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14.
};

} // namespace snipefall
