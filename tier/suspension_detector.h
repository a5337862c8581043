#pragma once

#include <optional>

#include "core/clock.h"

namespace snipefall {

/** Detects that the machine was suspended: the monotonic clock stops during a suspension, the boot-time clock keeps running. */
class suspension_detector
{
public:
    /** The time for which the machine was suspended since the last call; nothing if it was too short to matter. */
    std::optional<duration> check();

private:
    std::optional<duration> m_offset; ///< CLOCK_BOOTTIME minus CLOCK_MONOTONIC at the last call.
};

} // namespace snipefall
