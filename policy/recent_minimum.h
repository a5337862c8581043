#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace snipefall {

/** The smallest sample of a sliding window. */
class recent_minimum
{
public:
    void record(double sample, time_point now);
    /** The smallest sample of the last @c WINDOW, give or take one bucket; nothing if there is none. */
    std::optional<double> value(time_point now) const;

    static constexpr duration WINDOW = std::chrono::seconds(12);

private:
    static constexpr std::size_t BUCKETS = 6;

    struct bucket
    {
        std::int64_t number = -1; ///< Number of the bucket since the epoch of the clock.
        double smallest = 0;
    };

    static std::int64_t numberOf(time_point now);

    std::array<bucket, BUCKETS> m_buckets{};
};

} // namespace snipefall
