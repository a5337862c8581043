#pragma once

#include <optional>

#include "core/clock.h"

namespace snipefall {

/** Notices that the machine was suspended: the steady clock stands still meanwhile, the clock since boot does not. */
class suspension_detector
{
public:
    /** The time for which the machine was suspended since the last call, if that is worth noticing. */
    std::optional<duration> check();

private:
    std::optional<duration> m_offset; ///< Clock since boot minus steady clock.
};

} // namespace snipefall
