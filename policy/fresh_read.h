#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "policy/kind_version.h"
#include "policy/run_number.h"
#include "policy/store_kind.h"

namespace snipefall {

/** What a node found when it read the newest state of the store; nodes tell it each other so that few of them have to ask. */
struct fresh_read
{
    run_number origin; ///< The run of the node that read the store.
    std::uint64_t sequence = 0; ///< Orders the reads of one run.
    duration age{}; ///< Time since the read began.
    std::array<kind_version, STORE_KINDS.size()> kinds; ///< In the order of STORE_KINDS.
};

/** Encodes a read as the payload of a message between nodes. */
std::string encodeFreshRead(const fresh_read &read);
/** Decodes that payload; invalid_argument if it is malformed. */
outcome<fresh_read> decodeFreshRead(const std::string &payload);

} // namespace snipefall
