#pragma once

#include <cstddef>

#include "core/clock.h"
#include "policy/announced_rate_limit.h"

namespace snipefall {

struct server_announcement;

/** What is known of one run of a backend server from its answers. It outlives the server's entry in the store, which may be lost and listed again. */
class server_run_state
{
public:
    /**
     * Applies what the server stated in an answer to a request that was sent at @p sentAt. An answer that names no rate limit ends the limit only if its
     * request was sent after the limit was last named. @p nodes and @p phase are as in announced_rate_limit::set().
     *
     * Returns true if it changes which requests the server gets.
     */
    bool apply(const server_announcement &announced, time_point sentAt, std::size_t nodes, double phase, time_point now);
    void setNodeCount(std::size_t nodes) { m_limit.setNodeCount(nodes); }
    void setReplaced(bool replaced) { m_replaced = replaced; }
    /** Counts a request that is sent to the server. */
    void countRequest(time_point now) { m_limit.take(now); }

    /** True if another server answers at the address. */
    bool isReplaced() const { return m_replaced; }
    /** True if the server must not get requests any more. */
    bool isGone() const { return m_leaving || m_replaced; }
    /** True while the server wants no requests. */
    bool isPaused(time_point now) const { return now < m_pausedUntil; }
    /** True while the requests that this node may send at the rate limit are used up. */
    bool isAtLimit(time_point now) const { return m_limit.availableAt(now) > now; }
    const announced_rate_limit &limit() const { return m_limit; }
    /** The earliest time, @p now or later, at which the server takes a request, unless it is gone. */
    time_point availableAt(time_point now) const;

private:
    bool applyLimit(const server_announcement &announced, time_point sentAt, std::size_t nodes, double phase, time_point now);

    bool m_leaving = false; ///< The server announced that it is shutting down.
    bool m_replaced = false; ///< Another server answers at its address.
    time_point m_pausedUntil{};
    announced_rate_limit m_limit;
    time_point m_limitNamedAt{}; ///< When the server last named its rate limit.
};

} // namespace snipefall
