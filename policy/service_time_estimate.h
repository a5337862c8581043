#pragma once

#include <algorithm>
#include <cmath>

#include "core/clock.h"

namespace snipefall {

/** The smoothed mean and deviation of service times, with the weights that TCP uses for round trips (RFC 6298). */
class service_time_estimate
{
public:
    explicit service_time_estimate(duration first)
        : m_meanUs(static_cast<double>(first.count()))
    {
    }

    void add(duration sample)
    {
        const auto sampleUs = static_cast<double>(sample.count());
        m_deviationUs += 0.25 * (std::abs(sampleUs - m_meanUs) - m_deviationUs);
        m_meanUs = std::max(1.0, m_meanUs + 0.125 * (sampleUs - m_meanUs)); // Never 0: shares of service time are handed out in steps of it.
    }

    /** Lowers the estimate by 1%; for a query that was refused by it alone, as refused queries give no new samples. */
    void decay()
    {
        m_meanUs = std::max(1.0, 0.99 * m_meanUs);
        m_deviationUs *= 0.99;
    }

    double meanUs() const { return m_meanUs; }
    duration mean() const { return duration(static_cast<duration::rep>(m_meanUs)); }
    /** A time that most queries do not exceed. */
    duration high() const { return duration(static_cast<duration::rep>(m_meanUs + 2.0 * m_deviationUs)); }

private:
    double m_meanUs;
    double m_deviationUs = 0.0;
};

} // namespace snipefall
