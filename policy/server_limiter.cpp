#include "policy/server_limiter.h"

#include "core/invariant.h"

namespace snipefall {

server_limiter::server_limiter(std::uint64_t startedMs)
    : m_startedMs(startedMs)
{
}

void server_limiter::observeStartTime(std::uint64_t startedMs)
{
    if (startedMs == m_startedMs) {
        return;
    }
    m_startedMs = startedMs;
    becomeCold();
}

std::uint32_t server_limiter::requestLimit(const permit_share &usable) const
{
    if (m_exclusions.any()) {
        return 0;
    }
    return m_cold ? std::min(m_coldLimit, usable.slots) : usable.slots;
}

std::uint64_t server_limiter::started(const permit_share &usable)
{
    m_lastShare = usable.slots;
    ++m_running;
    return ++m_starts;
}

void server_limiter::finished(std::uint64_t start, const server_answer &answer, time_point now)
{
    SNIPEFALL_INVARIANT(m_running > 0, "a request finished that was not started");
    --m_running;
    // Answers to requests from before the server became cold tell nothing new.
    if (answer.kind == server_answer_kind::cancelled || start <= m_coldSince) {
        return;
    }
    if (answer.kind == server_answer_kind::shed) {
        shed(now);
        return;
    }
    if (answer.kind == server_answer_kind::failed) {
        m_successes = 0;
        return;
    }
    succeeded(answer.versionMedian > duration::zero() && answer.latency > COLD_LATENCY_FACTOR * answer.versionMedian);
}

void server_limiter::succeeded(bool slow)
{
    m_shedPause = SHED_PAUSE;
    if (slow) {
        m_successes = 0;
        if (++m_slowAnswers >= COLD_LATENCY_RUN) {
            becomeCold();
        }
        return;
    }
    m_slowAnswers = 0;
    if (!m_cold || ++m_successes < SLOW_START_RUN) {
        return;
    }
    m_successes = 0;
    m_cold = m_coldLimit < m_lastShare;
    ++m_coldLimit;
}

void server_limiter::shed(time_point now)
{
    m_pausedUntil = now + m_shedPause;
    m_shedPause = std::min(2 * m_shedPause, LONGEST_SHED_PAUSE);
    becomeCold();
}

void server_limiter::becomeCold()
{
    m_cold = true;
    m_coldLimit = 1;
    m_coldSince = m_starts;
    m_successes = 0;
    m_slowAnswers = 0;
}

void server_limiter::connectionClosed()
{
    SNIPEFALL_INVARIANT(m_connections > 0, "a connection closed that was not opened");
    --m_connections;
}

} // namespace snipefall
