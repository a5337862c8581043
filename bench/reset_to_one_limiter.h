#pragma once

#include <algorithm>

#include "policy/permit_share.h"
#include "policy/server_answer.h"

namespace snipefall {

/**
 * Baseline of bench_shedding: the rule that server_limiter used before it evaluated the share of shed answers.
 *
 * Each shed answer pauses the requests to the server and resets its concurrency limit to 1.
 */
class reset_to_one_limiter
{
public:
    explicit reset_to_one_limiter(std::uint64_t) { }

    bool mayStart(const permit_share &usable, time_point now) const
    {
        return m_running < (m_inSlowStart ? std::min(m_slowStartLimit, usable.slots) : usable.slots) && now >= m_pausedUntil;
    }
    std::uint64_t started(const permit_share &usable)
    {
        m_lastUsableSlots = usable.slots;
        ++m_running;
        return ++m_starts;
    }
    void finished(std::uint64_t start, const server_answer &answer, time_point now)
    {
        --m_running;
        if (start <= m_lastStartBeforeShed) {
            return;
        }
        if (answer.kind == server_answer_kind::shed) {
            m_pausedUntil = now + m_pause;
            m_pause = std::min<duration>(2 * m_pause, std::chrono::seconds(1));
            m_inSlowStart = true;
            m_slowStartLimit = 1;
            m_lastStartBeforeShed = m_starts;
            m_successes = 0;
            return;
        }
        m_pause = INITIAL_PAUSE;
        if (!m_inSlowStart || ++m_successes < SUCCESSES_PER_INCREASE) {
            return;
        }
        m_successes = 0;
        m_inSlowStart = m_slowStartLimit < m_lastUsableSlots;
        ++m_slowStartLimit;
    }

private:
    static constexpr duration INITIAL_PAUSE = std::chrono::milliseconds(50);
    static constexpr int SUCCESSES_PER_INCREASE = 5;

    std::uint32_t m_running = 0;
    std::uint32_t m_slowStartLimit = 1;
    std::uint32_t m_lastUsableSlots = 0;
    std::uint64_t m_starts = 0;
    std::uint64_t m_lastStartBeforeShed = 0;
    int m_successes = 0;
    duration m_pause = INITIAL_PAUSE;
    time_point m_pausedUntil = time_point::min();
    bool m_inSlowStart = true;
};

} // namespace snipefall
