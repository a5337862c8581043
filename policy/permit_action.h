#pragma once

#include <cstdint>
#include <variant>

#include "core/ids.h"
#include "policy/promise_request.h"
#include "policy/versioned_permits.h"

namespace snipefall {

/** Reads the permit record from the platform; a successful read renews the lease of the holder's share. */
struct read_permits
{
    std::uint64_t operation = 0; ///< Request number, passed back with the answer.
};

/** Writes the permit record to the platform by conditional update. */
struct write_permits
{
    std::uint64_t operation = 0;
    versioned_permits permits; ///< The new record, and the version that it replaces.
};

/** Sends a promise_request to the holder's designated successor. */
struct ask_promise
{
    std::uint64_t operation = 0;
    node_id successor;
    promise_request request;
};

/** An operation that a permit_holder asks its node to perform. */
using permit_action = std::variant<read_permits, write_permits, ask_promise>;

} // namespace snipefall
