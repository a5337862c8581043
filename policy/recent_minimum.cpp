#include "policy/recent_minimum.h"

#include <algorithm>

namespace snipefall {

std::int64_t recent_minimum::numberOf(time_point now)
{
    return now.time_since_epoch() / (WINDOW / static_cast<std::int64_t>(BUCKETS));
}

void recent_minimum::record(double sample, time_point now)
{
    const std::int64_t number = numberOf(now);
    bucket &current = m_buckets[static_cast<std::size_t>(number) % BUCKETS];
    current.smallest = current.number == number ? std::min(current.smallest, sample) : sample;
    current.number = number;
}

std::optional<double> recent_minimum::value(time_point now) const
{
    const std::int64_t oldest = numberOf(now) - static_cast<std::int64_t>(BUCKETS) + 1;
    std::optional<double> smallest;
    for (const bucket &item : m_buckets) {
        if (item.number < oldest || item.number < 0) {
            continue;
        }
        smallest = smallest ? std::min(*smallest, item.smallest) : item.smallest;
    }
    return smallest;
}

} // namespace snipefall
