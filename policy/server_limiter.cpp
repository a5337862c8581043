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
    m_lastSlots = usable.slots;
    ++m_running;
    return ++m_starts;
}

void server_limiter::finished(std::uint64_t start, const server_answer &answer, time_point now)
{
    SNIPEFALL_INVARIANT(m_running > 0, "finished() was called more often than started()");
    --m_running;
    // Answers to requests that were sent before the server became cold don't reflect its current state.
    if (answer.kind == server_answer_kind::cancelled || start <= m_coldSince) {
        return;
    }
    if (answer.kind == server_answer_kind::shed) {
        recordShed();
    } else if (answer.kind == server_answer_kind::failed) {
        reduceSuccesses();
    } else {
        recordSuccess(answer.versionMedianLatency > duration::zero() && answer.latency > SLOW_ANSWER_FACTOR * answer.versionMedianLatency);
    }
    m_pausedUntil = now + m_shedPause;
}

void server_limiter::recordSuccess(bool slow)
{
    m_shedScore = std::max(0, m_shedScore - 1);
    m_shedPause = std::min(m_shedPause, MAX_PAUSE_AFTER_SUCCESS);
    if (slow) {
        reduceSuccesses();
        if (++m_slowAnswers >= SLOW_ANSWERS_UNTIL_COLD) {
            becomeCold();
        }
        return;
    }
    m_slowAnswers = 0;
    if (m_trialLeft > 0 && --m_trialLeft == 0) {
        m_requiredSuccesses = std::min(m_requiredSuccesses, RETRIAL_SUCCESSES);
    }
    if (m_cold && ++m_successes >= m_requiredSuccesses) {
        increaseLoad();
    }
}

void server_limiter::reduceSuccesses()
{
    m_successes = std::max(0, m_successes - SLOW_START_SUCCESSES);
}

void server_limiter::increaseLoad()
{
    m_successes = 0;
    if (paused()) {
        shortenPause();
        return;
    }
    m_cold = m_coldLimit < m_lastSlots;
    ++m_coldLimit;
    m_trialLeft = m_cold ? TRIAL_SUCCESSES : 0;
}

void server_limiter::shortenPause()
{
    m_shedPause /= 2;
    if (m_shedPause < MIN_SHED_PAUSE) {
        m_shedPause = duration::zero();
        m_requiredSuccesses = SLOW_START_SUCCESSES;
    }
}

void server_limiter::recordShed()
{
    m_shedScore += SHED_WEIGHT;
    if (m_shedScore >= (paused() || m_trialLeft > 0 ? TRIAL_OVERLOAD_SCORE : OVERLOAD_SCORE)) {
        reduceLoad();
    }
}

void server_limiter::reduceLoad()
{
    const std::uint32_t limit = m_cold ? std::min(m_coldLimit, m_lastSlots) : m_lastSlots;
    // A warm server with a share of one slot gets no pause at first, because a server that sheds 20% at random can reach the overload score by chance.
    const bool overloadedByOne = m_cold && limit <= 1;
    const bool trialFailed = m_trialLeft > 0 && limit > 1;
    const int retrialSuccesses = m_requiredSuccesses < RETRIAL_SUCCESSES ? RETRIAL_SUCCESSES : std::min(2 * m_requiredSuccesses, MAX_RETRIAL_SUCCESSES);
    becomeCold();
    if (overloadedByOne) {
        m_shedPause = paused() ? std::min(2 * m_shedPause, MAX_SHED_PAUSE) : INITIAL_SHED_PAUSE;
        m_requiredSuccesses = PAUSE_HALVING_SUCCESSES;
    } else if (trialFailed) {
        m_coldLimit = limit - 1;
        m_requiredSuccesses = retrialSuccesses;
    }
}

void server_limiter::becomeCold()
{
    m_cold = true;
    m_coldLimit = 1;
    m_coldSince = m_starts;
    m_successes = 0;
    m_slowAnswers = 0;
    m_requiredSuccesses = SLOW_START_SUCCESSES;
    m_shedScore = 0;
    m_trialLeft = 0;
}

void server_limiter::connectionClosed()
{
    SNIPEFALL_INVARIANT(m_connections > 0, "connectionClosed() was called more often than connectionOpened()");
    --m_connections;
}

} // namespace snipefall
