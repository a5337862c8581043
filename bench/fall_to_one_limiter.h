#pragma once

#include <algorithm>

#include "policy/permit_share.h"
#include "policy/server_answer.h"

namespace snipefall {

/**
 * The baseline of bench_shedding: the rule of server_limiter before it judged the share of shed answers.
 *
 * Every shed answer starts a pause and sets the limit to 1.
 */
class fall_to_one_limiter
{
public:
    explicit fall_to_one_limiter(std::uint64_t) { }

    bool mayStart(const permit_share &usable, time_point now) const
    {
        return m_running < (m_cold ? std::min(m_coldLimit, usable.slots) : usable.slots) && now >= m_pausedUntil;
    }
    std::uint64_t started(const permit_share &usable)
    {
        m_lastShare = usable.slots;
        ++m_running;
        return ++m_starts;
    }
    void finished(std::uint64_t start, const server_answer &answer, time_point now)
    {
        --m_running;
        if (start <= m_coldSince) {
            return;
        }
        if (answer.kind == server_answer_kind::shed) {
            m_pausedUntil = now + m_pause;
            m_pause = std::min<duration>(2 * m_pause, std::chrono::seconds(1));
            m_cold = true;
            m_coldLimit = 1;
            m_coldSince = m_starts;
            m_successes = 0;
            return;
        }
        m_pause = FIRST_PAUSE;
        if (!m_cold || ++m_successes < GROWTH_RUN) {
            return;
        }
        m_successes = 0;
        m_cold = m_coldLimit < m_lastShare;
        ++m_coldLimit;
    }

private:
    static constexpr duration FIRST_PAUSE = std::chrono::milliseconds(50);
    static constexpr int GROWTH_RUN = 5;

    std::uint32_t m_running = 0;
    std::uint32_t m_coldLimit = 1;
    std::uint32_t m_lastShare = 0;
    std::uint64_t m_starts = 0;
    std::uint64_t m_coldSince = 0;
    int m_successes = 0;
    duration m_pause = FIRST_PAUSE;
    time_point m_pausedUntil = time_point::min();
    bool m_cold = true;
};

} // namespace snipefall
