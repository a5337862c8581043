#pragma once

#include <cstdint>
#include <variant>

#include "core/ids.h"
#include "policy/promise_request.h"
#include "policy/versioned_permits.h"

namespace snipefall {

/** Read the record; a successful read renews the share. */
struct read_permits
{
    std::uint64_t operation = 0; ///< Passed back with the answer.
};

/** Write the record by conditional update. */
struct write_permits
{
    std::uint64_t operation = 0;
    versioned_permits permits; ///< The new record and the version that it replaces.
};

/** Send the request to the designated taker. */
struct ask_promise
{
    std::uint64_t operation = 0;
    node_id taker;
    promise_request request;
};

/** What a permit_holder wants its node to do. */
using permit_action = std::variant<read_permits, write_permits, ask_promise>;

} // namespace snipefall
