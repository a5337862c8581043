#include "tier/suspension_detector.h"

#include <ctime>

namespace snipefall {

namespace {

/** Shorter suspensions are ignored: they leave no state outdated. */
constexpr duration MIN_SUSPENSION = std::chrono::milliseconds(300);

duration readClock(clockid_t clock)
{
    timespec value{};
    clock_gettime(clock, &value);
    return std::chrono::duration_cast<duration>(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace

std::optional<duration> suspension_detector::check()
{
    const duration offset = readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC);
    const duration suspended = m_offset ? offset - *m_offset : duration::zero();
    m_offset = offset;
    return suspended >= MIN_SUSPENSION ? std::optional(suspended) : std::nullopt;
}

} // namespace snipefall
