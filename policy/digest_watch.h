#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace snipefall {

/** Decides when a difference between this node's digest and those of its peers is worth a pull. */
class digest_watch
{
public:
    /** Notes this node's own digest. */
    void noteOwn(time_point now, std::uint64_t digest)
    {
        m_changed = digest == m_own ? m_changed : now;
        m_own = digest;
    }

    /**
     * Notes a peer's digest; true when it differs.
     *
     * A peer with the same digest proves nothing: after a split, both may lack what a third one holds. The difference is over when no peer has shown it for
     * @p quiet.
     */
    bool differs(time_point now, std::uint64_t theirs, duration quiet)
    {
        if (theirs == m_own) {
            return false;
        }
        if (!m_since || now >= m_last + quiet) {
            m_since = now;
        }
        m_last = now;
        return true;
    }

    /** True when the difference has lasted for @p delay without a change of this node's own state, or for @p latest. */
    bool due(time_point now, duration delay, duration latest) const
    {
        return m_since && ((now >= *m_since + delay && now >= m_changed + delay) || now >= *m_since + latest);
    }

    /** Starts to wait again after a pull. */
    void restart(time_point now) { m_since = now; }

private:
    std::uint64_t m_own = 0;
    time_point m_changed;
    std::optional<time_point> m_since;
    time_point m_last;
};

} // namespace snipefall
