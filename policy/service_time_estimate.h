#pragma once

#include <algorithm>
#include <cmath>

#include "core/clock.h"

namespace snipefall {

/** Exponentially smoothed mean and deviation of service times, with the weights that TCP uses for round-trip times (RFC 6298). */
class service_time_estimate
{
public:
    /** @p first is the mean until samples are added. */
    explicit service_time_estimate(duration first)
        : m_meanUs(static_cast<double>(first.count()))
    {
    }

    void add(duration sample)
    {
        const auto sampleUs = static_cast<double>(sample.count());
        m_deviationUs += 0.25 * (std::abs(sampleUs - m_meanUs) - m_deviationUs);
        m_meanUs = std::max(1.0, m_meanUs + 0.125 * (sampleUs - m_meanUs)); // Never 0, because the mean is the quantum of the deficit round robin.
    }

    /** Lowers the estimate by 1%; to be called for a query refused only because of the estimate, as refused queries give no new samples. */
    void decay()
    {
        m_meanUs = std::max(1.0, 0.99 * m_meanUs);
        m_deviationUs *= 0.99;
    }

    double meanUs() const { return m_meanUs; }
    duration mean() const { return duration(static_cast<duration::rep>(m_meanUs)); }
    /** An upper estimate, mean plus two deviations, that most queries do not exceed. */
    duration upperEstimate() const { return duration(static_cast<duration::rep>(m_meanUs + 2.0 * m_deviationUs)); }

private:
    double m_meanUs;
    double m_deviationUs = 0.0;
};

} // namespace snipefall
