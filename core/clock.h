#pragma once

#include <chrono>
#include <concepts>

namespace snipefall {

using duration = std::chrono::microseconds;
/** A point on the process's monotonic clock; not comparable between processes. */
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/** A source of monotonic time. Policies take time points as arguments; only the code that calls them holds a clock. */
template <typename T>
concept clock_source = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<time_point>;
};

/** The process's monotonic clock. */
class system_clock
{
public:
    time_point now() const { return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now()); }
};

/** Wall-clock time in milliseconds since 1970. The wall clock can jump, so use this only for values that leave the process. */
inline std::uint64_t wallClockMs()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

} // namespace snipefall
