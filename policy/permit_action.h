#pragma once

#include <cstdint>
#include <variant>

#include "core/ids.h"
#include "policy/permit_record.h"

namespace snipefall {

/** A permit record as the platform holds it at one version; version 0 and an empty ring when it does not exist. */
struct versioned_permits
{
    object_version version;
    permit_record record;
};

/** A holder asks its designated taker not to use its share for LEASE_TIME. Carries the record, so that the taker catches up without the platform. */
struct promise_request
{
    node_id holder;
    incarnation started;
    versioned_permits permits;
};

/** The answer of a taker; its record helps a holder that is behind. */
struct promise_answer
{
    bool granted = false;
    versioned_permits permits;
};

struct read_permits
{
    std::uint64_t operation = 0; ///< Passed back with the answer.
};

struct write_permits
{
    std::uint64_t operation = 0;
    versioned_permits permits; ///< The new record and the version that it replaces.
};

struct ask_promise
{
    std::uint64_t operation = 0;
    node_id taker;
    promise_request request;
};

/** What a permit_holder wants its node to do. */
using permit_action = std::variant<read_permits, write_permits, ask_promise>;

} // namespace snipefall
