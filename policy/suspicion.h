#pragma once

#include <set>

#include "core/clock.h"
#include "core/ids.h"

namespace snipefall {

/** Timeout of a suspicion: how long a suspected member has to refute. It shrinks as more members confirm the suspicion (Lifeguard). */
class suspicion
{
public:
    suspicion(time_point started, duration minTimeout, duration maxTimeout, std::size_t confirmations);

    /** Adds a confirmation. Returns true if @p accuser is new and confirmations were still missing, so that the claim should be broadcast. */
    bool confirm(const node_id &accuser);

    /** When the member is declared dead unless it refutes. */
    time_point deadline() const;

    /** Moves the deadline by @p pause, during which this process did not run. */
    void extend(duration pause) { m_started += pause; }

private:
    time_point m_started;
    duration m_minTimeout;
    duration m_maxTimeout;
    std::size_t m_confirmations;
    std::set<node_id> m_accusers;
};

} // namespace snipefall
