#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace snipefall {

/**
 * Derives the true time from a time of day that may jump by seconds and back.
 *
 * The time of day is compared with a clock that only runs forward. Small differences, by which the time of day is being adjusted, are followed; larger ones are
 * jumps, and the time goes on from before them. A node that starts while its time of day is wrong can't notice that.
 */
class jump_filter
{
public:
    /** The true time in ms since 1970; @p wallMs is the time of day, @p sinceBoot a clock that counts suspensions too. */
    std::uint64_t trueTimeMs(std::uint64_t wallMs, duration sinceBoot);

private:
    std::optional<std::int64_t> m_offsetMs; ///< The true time at boot.
};

} // namespace snipefall
