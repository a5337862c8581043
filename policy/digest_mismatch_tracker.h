#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace snipefall {

/** Tracks how long this node's digest has differed from those of its peers and decides when to pull. */
class digest_mismatch_tracker
{
public:
    /** Records this node's own digest. */
    void recordOwnDigest(time_point now, std::uint64_t digest)
    {
        m_ownChangedAt = digest == m_own ? m_ownChangedAt : now;
        m_own = digest;
    }

    /**
     * Records the digest of a peer; returns true if it differs from this node's own.
     *
     * A peer with an equal digest doesn't end a mismatch: after a network partition, both nodes may lack entries that a third one holds. A mismatch ends when
     * no peer has sent a differing digest for @p mismatchTimeout.
     */
    bool differs(time_point now, std::uint64_t peerDigest, duration mismatchTimeout)
    {
        if (peerDigest == m_own) {
            return false;
        }
        if (!m_mismatchSince || now >= m_lastMismatch + mismatchTimeout) {
            m_mismatchSince = now;
        }
        m_lastMismatch = now;
        return true;
    }

    /** Returns true if the mismatch has lasted for @p delay without a change of this node's own digest, or for @p maxDelay in any case. */
    bool due(time_point now, duration delay, duration maxDelay) const
    {
        return m_mismatchSince && ((now >= *m_mismatchSince + delay && now >= m_ownChangedAt + delay) || now >= *m_mismatchSince + maxDelay);
    }

    /** Restarts the delay after a pull. */
    void restart(time_point now) { m_mismatchSince = now; }

private:
    std::uint64_t m_own = 0;
    time_point m_ownChangedAt;
    std::optional<time_point> m_mismatchSince;
    time_point m_lastMismatch;
};

} // namespace snipefall
