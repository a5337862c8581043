#pragma once

#include <compare>
#include <cstdint>

#include "core/ids.h"

namespace snipefall {

/** One crash of a backend server: the process with this start time ended without answering its requests in flight. */
struct crash_event
{
    backend_server_id server;
    std::uint64_t startedMs = 0; ///< Unix time in ms at which the crashed process had started.

    auto operator<=>(const crash_event &) const = default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14.
};

} // namespace snipefall
