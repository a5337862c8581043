#pragma once

#include <cstdint>

#include "core/clock.h"
#include "policy/permit_share.h"
#include "policy/server_answer.h"
#include "policy/server_exclusions.h"

namespace snipefall {

/** An answer that takes longer than this many times its version's median is slow. */
constexpr int COLD_LATENCY_FACTOR = 3;
/** Slow answers in a row that show a cold server; a single one is a straggler. */
constexpr int COLD_LATENCY_RUN = 3;
/** Successes, none of them slow, after which a cold server gets one more request at a time. */
constexpr int SLOW_START_RUN = 5;
/**
 * The shed score rises by SHED_WEIGHT with each shed answer and falls by 1 with each success; at OVERLOAD_SCORE the server is overloaded.
 *
 * On average the score falls while less than 1 in 4 answers is shed, so a server that sheds a few requests at random keeps its load. A server that
 * gets one request more than it can bear sheds more than half of what is sent, because shed answers are fast and the request is sent again at once.
 */
constexpr int SHED_WEIGHT = 3;
constexpr int OVERLOAD_SCORE = 13;
/** Shows an overload during the trial of a higher limit and while pauses are kept; 7 held a server that sheds 20% at random at a low limit. */
constexpr int TRIAL_OVERLOAD_SCORE = 10;
/** Successes after which a raised limit counts as held. */
constexpr int TRIAL_RUN = 10;
/** Successes before a limit that failed its trial is tried again, twice as many after a second failure. A failed trial costs about five shed answers. */
constexpr int RETRIAL_RUN = 100;
constexpr int LONGEST_RETRIAL_RUN = 200;
/** The first pause after each answer of a server that can't bear one request at a time; it doubles with each further overload. */
constexpr duration SHED_PAUSE = std::chrono::milliseconds(50);
constexpr duration LONGEST_SHED_PAUSE = std::chrono::seconds(1);
/** The longest pause after a success: from 1 s, the halving would take 20 s. */
constexpr duration LONGEST_ANSWERED_PAUSE = std::chrono::milliseconds(100);
/** Pauses below this end; the target's service times are about 6 ms. */
constexpr duration SHORTEST_SHED_PAUSE = std::chrono::milliseconds(5);
/** Successes after which the pause is halved; with 5, a server with 2 slots sheds twice as much while its capacity grows from 0.2 to 1 request. */
constexpr int PAUSED_RUN = 10;

/**
 * Limits the requests and connections of one node to one backend server.
 *
 * The limit is the node's usable share, less while the server is cold, and 0 while it is excluded. Shed answers make a server cold by their share,
 * not singly: one that sheds at random sheds as much at a low limit, so that lowering it gains nothing. After a failed trial of a higher limit the
 * limit goes back by one step, after any other overload to 1; a server that can't bear one request at a time gets a pause after each answer. What
 * the server's own health endpoint says only lowers its preference.
 */
class server_limiter
{
public:
    /** A server that is new to this node is cold. */
    explicit server_limiter(std::uint64_t startedMs);

    void setExclusions(const server_exclusions &exclusions) { m_exclusions = exclusions; }
    /** The start time that the server reports; another one than before means that it is cold. */
    void observeStartTime(std::uint64_t startedMs);
    void observeHealth(bool healthy) { m_healthy = healthy; }

    /** The number of requests that may run at the same time under the node's @p usable share. */
    std::uint32_t requestLimit(const permit_share &usable) const;
    std::uint32_t connectionLimit(const permit_share &usable) const { return m_exclusions.any() ? 0 : usable.connections; }
    bool mayStart(const permit_share &usable, time_point now) const { return m_running < requestLimit(usable) && now >= m_pausedUntil; }
    bool mayConnect(const permit_share &usable) const { return m_connections < connectionLimit(usable); }

    /** Counts a request that is being sent under the node's @p usable share; pass the result to finished(). */
    std::uint64_t started(const permit_share &usable);
    void finished(std::uint64_t start, const server_answer &answer, time_point now);
    void connectionOpened() { ++m_connections; }
    void connectionClosed();

    std::uint32_t running() const { return m_running; }
    std::uint32_t connections() const { return m_connections; }
    bool cold() const { return m_cold; }
    /** False when the server should only get work that no other replica can do. */
    bool preferred() const { return m_healthy && !m_cold && !m_exclusions.any(); }

private:
    void becomeCold();
    bool paused() const { return m_shedPause > duration::zero(); }
    void shed();
    void overloaded();
    void succeeded(bool slow);
    void grow();
    void shortenPause();
    /** Takes a run of successes back; starting over would keep a server with a few failures from ever finishing a long run. */
    void loseSuccesses();

    std::uint64_t m_startedMs;
    server_exclusions m_exclusions;
    std::uint32_t m_running = 0;
    std::uint32_t m_connections = 0;
    std::uint32_t m_coldLimit = 1;
    std::uint64_t m_starts = 0;
    std::uint64_t m_coldSince = 0; ///< Requests sent up to this one say nothing of the server's recovery.
    int m_successes = 0;
    int m_slowAnswers = 0;
    int m_growthRun = SLOW_START_RUN; ///< Successes needed for the next step of the limit or of the pause.
    int m_shedScore = 0;
    int m_trialLeft = 0; ///< Successes until the limit counts as held since it was raised.
    duration m_shedPause{}; ///< 0 while the server bears at least one request at a time.
    time_point m_pausedUntil = time_point::min();
    bool m_cold = true;
    bool m_healthy = true;
    std::uint32_t m_lastShare = 0; ///< The slots at the last send; the server is warm when it has answered well at this limit.
};

} // namespace snipefall
