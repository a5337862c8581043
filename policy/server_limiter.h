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
/** Successes in a row, none of them slow, after which a cold server gets one more request at a time. */
constexpr int SLOW_START_RUN = 5;
/** The pause after a shed answer; it doubles with each further one up to the longest pause. */
constexpr duration SHED_PAUSE = std::chrono::milliseconds(50);
constexpr duration LONGEST_SHED_PAUSE = std::chrono::seconds(1);

/**
 * Limits the requests and connections of one node to one backend server.
 *
 * The limit is the node's usable share, less while the server is cold, and 0 while it is excluded. What the server's own health endpoint says only
 * lowers its preference.
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
    void shed(time_point now);
    void succeeded(bool slow);

    std::uint64_t m_startedMs;
    server_exclusions m_exclusions;
    std::uint32_t m_running = 0;
    std::uint32_t m_connections = 0;
    std::uint32_t m_coldLimit = 1;
    std::uint64_t m_starts = 0;
    std::uint64_t m_coldSince = 0; ///< Requests sent up to this one say nothing of the server's recovery.
    int m_successes = 0;
    int m_slowAnswers = 0;
    duration m_shedPause = SHED_PAUSE;
    time_point m_pausedUntil = time_point::min();
    bool m_cold = true;
    bool m_healthy = true;
    std::uint32_t m_lastShare = 0; ///< The slots at the last send; the server is warm when it has answered well at this limit.
};

} // namespace snipefall
