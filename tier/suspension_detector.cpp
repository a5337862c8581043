#include "tier/suspension_detector.h"

#include "tier/boot_clock.h"
#include "tier/loop_clock.h"

namespace snipefall {

namespace {

/** Shorter suspensions are ignored: they leave no state outdated. */
constexpr duration MIN_SUSPENSION = std::chrono::milliseconds(300);

} // namespace

std::optional<duration> suspension_detector::check()
{
    const duration offset = sinceBoot() - now().time_since_epoch();
    const duration suspended = m_offset ? offset - *m_offset : duration::zero();
    m_offset = offset;
    return suspended >= MIN_SUSPENSION ? std::optional(suspended) : std::nullopt;
}

} // namespace snipefall
