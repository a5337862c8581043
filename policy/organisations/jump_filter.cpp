#include "policy/organisations/jump_filter.h"

#include <cstdlib>

namespace snipefall {

namespace {

/** Larger changes between two calls are jumps; clocks are adjusted in much smaller steps. */
constexpr std::int64_t MAX_ADJUSTMENT_MS = 50;

} // namespace

std::uint64_t jump_filter::trueTimeMs(std::uint64_t wallMs, duration sinceBoot)
{
    const std::int64_t bootMs = sinceBoot / std::chrono::milliseconds(1);
    const std::int64_t offsetMs = static_cast<std::int64_t>(wallMs) - bootMs;
    if (!m_offsetMs || std::abs(offsetMs - *m_offsetMs) <= MAX_ADJUSTMENT_MS) {
        m_offsetMs = offsetMs;
    }
    return static_cast<std::uint64_t>(bootMs + *m_offsetMs);
}

} // namespace snipefall
