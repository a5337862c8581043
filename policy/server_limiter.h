#pragma once

#include <cstdint>

#include "core/clock.h"
#include "policy/permit_share.h"
#include "policy/server_answer.h"
#include "policy/server_exclusions.h"

namespace snipefall {

/** An answer is slow if its latency exceeds the median of the server's version by this factor. */
constexpr int SLOW_ANSWER_FACTOR = 3;
/** Consecutive slow answers after which a server counts as cold; a single one is a straggler. */
constexpr int SLOW_ANSWERS_UNTIL_COLD = 3;
/** Successes without slow answers after which the request limit of a cold server is raised by one. */
constexpr int SLOW_START_SUCCESSES = 5;
/**
 * The shed score rises by SHED_WEIGHT with each shed answer and falls by 1 with each success; at OVERLOAD_SCORE the server is overloaded.
 *
 * On average the score falls while less than 1 in 4 answers is shed, so a server that sheds a few requests at random keeps its load. A server that
 * gets one request more than its capacity sheds more than half of the requests, because shed answers are fast and the request is sent again immediately.
 */
constexpr int SHED_WEIGHT = 3;
constexpr int OVERLOAD_SCORE = 13;
/** Replaces OVERLOAD_SCORE during the trial of a raised limit and while pauses are kept; 7 kept a server that sheds 20% at random at a low limit. */
constexpr int TRIAL_OVERLOAD_SCORE = 10;
/** Successes after which the trial of a raised limit has passed. */
constexpr int TRIAL_SUCCESSES = 10;
/** Successes before a limit that failed its trial is tried again; doubled after a second failure, because each failed trial costs about five shed answers. */
constexpr int RETRIAL_SUCCESSES = 100;
constexpr int MAX_RETRIAL_SUCCESSES = 200;
/** Initial pause after each answer of a server that is overloaded by one request at a time; it doubles with each further overload. */
constexpr duration INITIAL_SHED_PAUSE = std::chrono::milliseconds(50);
constexpr duration MAX_SHED_PAUSE = std::chrono::seconds(1);
/** Upper limit of the pause after a success: halving it step by step from 1 s would take 20 s. */
constexpr duration MAX_PAUSE_AFTER_SUCCESS = std::chrono::milliseconds(100);
/** A pause that falls below this value ends, because it is shorter than the target's typical service time of about 6 ms. */
constexpr duration MIN_SHED_PAUSE = std::chrono::milliseconds(5);
/** Successes after which the pause is halved; with 5, a server with 2 slots sheds twice as much while its capacity grows from 0.2 to 1 concurrent requests. */
constexpr int PAUSE_HALVING_SUCCESSES = 10;

/**
 * Limits the requests and connections of one node to one backend server.
 *
 * The request limit is the node's usable permit share. It is lower while the server is cold, and 0 while the server is excluded.
 *
 * A server becomes cold when the share of shed answers is high, not by a single one: a server that sheds at random sheds as many requests at a low limit, so
 * lowering the limit would gain nothing. If the trial of a raised limit fails, the limit is lowered by one; any other overload resets it to 1. A server that is
 * overloaded by one request at a time gets a pause after each answer. A failing health endpoint does not change the limit; the server is only no longer
 * preferred.
 */
class server_limiter
{
public:
    /** A new server starts cold. @p startedMs is the Unix time in ms at which its process started, as the server reports it. */
    explicit server_limiter(std::uint64_t startedMs);

    void setExclusions(const server_exclusions &exclusions) { m_exclusions = exclusions; }
    /** Records the start time that the server reports, in Unix ms. A changed start time means that the server has restarted and is cold. */
    void observeStartTime(std::uint64_t startedMs);
    /** Records the result of the server's health endpoint. */
    void observeHealth(bool healthy) { m_healthy = healthy; }

    /** The number of concurrent requests that the node's @p usable share allows in the current state of the server. */
    std::uint32_t requestLimit(const permit_share &usable) const;
    std::uint32_t connectionLimit(const permit_share &usable) const { return m_exclusions.any() ? 0 : usable.connections; }
    bool mayStart(const permit_share &usable, time_point now) const { return m_running < requestLimit(usable) && now >= m_pausedUntil; }
    bool mayConnect(const permit_share &usable) const { return m_connections < connectionLimit(usable); }

    /** Records that a request is sent under the node's @p usable share. Returns its number, to be passed to finished(). */
    std::uint64_t started(const permit_share &usable);
    /** Records the answer to the request with the number @p start and adjusts the limit. */
    void finished(std::uint64_t start, const server_answer &answer, time_point now);
    void connectionOpened() { ++m_connections; }
    void connectionClosed();

    std::uint32_t running() const { return m_running; }
    std::uint32_t connections() const { return m_connections; }
    bool cold() const { return m_cold; }
    /** False if the server should only get requests that no other replica can serve. */
    bool preferred() const { return m_healthy && !m_cold && !m_exclusions.any(); }

private:
    void becomeCold();
    bool paused() const { return m_shedPause > duration::zero(); }
    void recordShed();
    /** Makes the server cold and lowers the limit or lengthens the pause. */
    void reduceLoad();
    void recordSuccess(bool slow);
    /** Raises the limit by one, or shortens the pause if there is one. */
    void increaseLoad();
    void shortenPause();
    /**
     * Reduces the count of successes by SLOW_START_SUCCESSES.
     *
     * Resetting it to 0 would keep a server with occasional failures from ever completing a long run.
     */
    void reduceSuccesses();

    std::uint64_t m_startedMs;
    server_exclusions m_exclusions;
    std::uint32_t m_running = 0;
    std::uint32_t m_connections = 0;
    std::uint32_t m_coldLimit = 1;
    std::uint64_t m_starts = 0; ///< Number of requests sent so far.
    std::uint64_t m_coldSince = 0; ///< Number of the last request sent before the server became cold; answers up to it are ignored.
    int m_successes = 0; ///< Successes counted towards the next step of the limit or of the pause.
    int m_slowAnswers = 0; ///< Consecutive slow answers.
    int m_requiredSuccesses = SLOW_START_SUCCESSES; ///< Successes needed for the next step of the limit or of the pause.
    int m_shedScore = 0;
    int m_trialLeft = 0; ///< Successes until the trial of a raised limit has passed; 0 outside of a trial.
    duration m_shedPause{}; ///< 0 while the server can handle at least one request at a time.
    time_point m_pausedUntil = time_point::min();
    bool m_cold = true;
    bool m_healthy = true;
    std::uint32_t m_lastSlots = 0; ///< Slots of the usable share when the last request was sent; the server is warm once its limit has grown beyond them.
};

} // namespace snipefall
