#pragma once

#include <chrono>
#include <cstdint>

#include "core/clock.h"
#include "core/strong_number.h"

namespace snipefall {

/** Number of a window of the usage report; window k begins k window lengths after the start of 1970. */
using usage_window = strong_number<struct usage_window_tag>;

/** The window that contains the Unix time @p unixMs. @p length is at least 1 ms. */
constexpr usage_window windowAt(std::uint64_t unixMs, duration length)
{
    return usage_window(unixMs / static_cast<std::uint64_t>(length / std::chrono::milliseconds(1)));
}

/** The Unix time in ms at which a window ends. */
constexpr std::uint64_t endOf(usage_window window, duration length)
{
    return window.next().value() * static_cast<std::uint64_t>(length / std::chrono::milliseconds(1));
}

} // namespace snipefall
