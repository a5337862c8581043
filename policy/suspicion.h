#pragma once

#include <set>

#include "core/clock.h"
#include "core/ids.h"

namespace snipefall {

/** The time that a suspected member has to refute; it shrinks as more members confirm the suspicion (Lifeguard). */
class suspicion
{
public:
    suspicion(time_point started, duration shortest, duration longest, std::size_t confirmations);

    /** True when @p accuser is new and more confirmations are needed, so that it is worth passing on. */
    bool confirm(const node_id &accuser);

    time_point deadline() const;

    /** Gives back the time during which this process was paused. */
    void extend(duration pause) { m_started += pause; }

private:
    time_point m_started;
    duration m_shortest;
    duration m_longest;
    std::size_t m_confirmations;
    std::set<node_id> m_accusers;
};

} // namespace snipefall
