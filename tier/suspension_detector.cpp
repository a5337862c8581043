#include "tier/suspension_detector.h"

#include <ctime>

namespace snipefall {

namespace {

/** Shorter suspensions leave nothing outdated. */
constexpr duration SHORTEST_SUSPENSION = std::chrono::milliseconds(300);

duration read(clockid_t clock)
{
    timespec value{};
    clock_gettime(clock, &value);
    return std::chrono::duration_cast<duration>(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace

std::optional<duration> suspension_detector::check()
{
    const duration offset = read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC);
    const duration grown = m_offset ? offset - *m_offset : duration::zero();
    m_offset = offset;
    return grown >= SHORTEST_SUSPENSION ? std::optional(grown) : std::nullopt;
}

} // namespace snipefall
