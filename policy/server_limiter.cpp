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
        shed();
    } else if (answer.kind == server_answer_kind::failed) {
        loseSuccesses();
    } else {
        succeeded(answer.versionMedian > duration::zero() && answer.latency > COLD_LATENCY_FACTOR * answer.versionMedian);
    }
    m_pausedUntil = now + m_shedPause;
}

void server_limiter::succeeded(bool slow)
{
    m_shedScore = std::max(0, m_shedScore - 1);
    m_shedPause = std::min(m_shedPause, LONGEST_ANSWERED_PAUSE);
    if (slow) {
        loseSuccesses();
        if (++m_slowAnswers >= COLD_LATENCY_RUN) {
            becomeCold();
        }
        return;
    }
    m_slowAnswers = 0;
    if (m_trialLeft > 0 && --m_trialLeft == 0) {
        m_growthRun = std::min(m_growthRun, RETRIAL_RUN);
    }
    if (m_cold && ++m_successes >= m_growthRun) {
        grow();
    }
}

void server_limiter::loseSuccesses()
{
    m_successes = std::max(0, m_successes - SLOW_START_RUN);
}

void server_limiter::grow()
{
    m_successes = 0;
    if (paused()) {
        shortenPause();
        return;
    }
    m_cold = m_coldLimit < m_lastShare;
    ++m_coldLimit;
    m_trialLeft = m_cold ? TRIAL_RUN : 0;
}

void server_limiter::shortenPause()
{
    m_shedPause /= 2;
    if (m_shedPause < SHORTEST_SHED_PAUSE) {
        m_shedPause = duration::zero();
        m_growthRun = SLOW_START_RUN;
    }
}

void server_limiter::shed()
{
    m_shedScore += SHED_WEIGHT;
    if (m_shedScore >= (paused() || m_trialLeft > 0 ? TRIAL_OVERLOAD_SCORE : OVERLOAD_SCORE)) {
        overloaded();
    }
}

void server_limiter::overloaded()
{
    const std::uint32_t limit = m_cold ? std::min(m_coldLimit, m_lastShare) : m_lastShare;
    // A warm server with a share of one slot gets no pause at first: chance alone brings a server that sheds 20% at random here.
    const bool oneIsTooMuch = m_cold && limit <= 1;
    const bool trialFailed = m_trialLeft > 0 && limit > 1;
    const int retrialRun = m_growthRun < RETRIAL_RUN ? RETRIAL_RUN : std::min(2 * m_growthRun, LONGEST_RETRIAL_RUN);
    becomeCold();
    if (oneIsTooMuch) {
        m_shedPause = paused() ? std::min(2 * m_shedPause, LONGEST_SHED_PAUSE) : SHED_PAUSE;
        m_growthRun = PAUSED_RUN;
    } else if (trialFailed) {
        m_coldLimit = limit - 1;
        m_growthRun = retrialRun;
    }
}

void server_limiter::becomeCold()
{
    m_cold = true;
    m_coldLimit = 1;
    m_coldSince = m_starts;
    m_successes = 0;
    m_slowAnswers = 0;
    m_growthRun = SLOW_START_RUN;
    m_shedScore = 0;
    m_trialLeft = 0;
}

void server_limiter::connectionClosed()
{
    SNIPEFALL_INVARIANT(m_connections > 0, "a connection closed that was not opened");
    --m_connections;
}

} // namespace snipefall
