#pragma once

#include <array>
#include <map>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/catch_up.h"
#include "policy/fresh_read.h"
#include "policy/known_objects.h"
#include "policy/peer_claim.h"
#include "policy/store_kind.h"

namespace snipefall {

/**
 * Bounds the age of a node's knowledge of the store.
 *
 * Watches are cheap but prove nothing while they are silent: an old copy may answer them, and an open watch may have been forgotten. So some node reads the
 * newest state, once in an interval, and tells the others. A node that finds itself behind such a read asks the store; a node that hears of none reads by
 * itself before its knowledge is older than the bound.
 */
class freshness_monitor
{
public:
    freshness_monitor(time_point start, std::uint64_t seed);

    /** Sets how old the knowledge may become: the tightest time limit for applying a change of the store. */
    void setBound(duration bound);

    /** Notes that all of a kind was read from the newest state as of @p storeRevision, by a call that began at @p begun. */
    void noteRead(store_kind kind, time_point begun, store_position storeRevision);
    /** Whether the last read of the kind was as of @p storeRevision, so that nothing was changed in between. */
    bool wasReadAt(store_kind kind, store_position storeRevision) const;
    /** Applies a peer's read. Returns true if it was not known yet, so that it has to be passed on. */
    bool applyPeerRead(const fresh_read &read, time_point now);
    /** Compares a kind with the newest read of a peer and returns what has to be done if it stays behind. */
    catch_up compare(store_kind kind, const known_objects &known, time_point now);
    /** Notes whether calls for the kind succeed. Failed calls are retried elsewhere, and other kinds don't wait for them. */
    void setReadable(store_kind kind, bool readable) { m_readable[index(kind)] = readable; }

    /** Whether this node has to read all kinds; @p rank is the number of live nodes whose ids sort before its own, nothing if it knows no other node. */
    bool roundDue(std::optional<std::size_t> rank, time_point now) const;
    /** Whether too little time is left to read the kinds one after another. */
    bool isLate(time_point now) const;
    void beginRound(time_point now) { m_roundBegun = now; }
    bool roundRunning() const { return m_roundBegun.has_value(); }
    /** Whether this node itself has read the kind by a call that began at @p begun or later. */
    bool readSince(store_kind kind, time_point begun) const { return m_readBegun[index(kind)] >= begun; }
    /** The start of the running round, if all readable kinds have been read since; ends the round. */
    std::optional<time_point> endRoundIfComplete();

    /** Time since the latest moment at which the knowledge of the kind was proved to be complete. */
    duration age(store_kind kind, time_point now) const { return now - m_currentAt[index(kind)]; }
    /** Upper limit of the age of each kind while calls to the store succeed. */
    duration bound() const { return m_bound; }

private:
    struct last_read
    {
        std::uint64_t sequence = 0;
        time_point receivedAt;
    };

    static constexpr std::size_t index(store_kind kind) { return static_cast<std::size_t>(kind); }
    duration oldestAge(time_point now) const;

    duration m_bound{};
    double m_jitter; ///< Between 0 and 1, so that nodes that hear of no read don't ask at the same moment.
    std::array<time_point, STORE_KINDS.size()> m_currentAt;
    std::array<time_point, STORE_KINDS.size()> m_readBegun; ///< Start of the last read by this node.
    std::array<store_position, STORE_KINDS.size()> m_readRevision;
    std::array<bool, STORE_KINDS.size()> m_readable;
    std::array<std::optional<peer_claim>, STORE_KINDS.size()> m_claims;
    std::map<run_number, last_read> m_lastReads; ///< Of runs that have reported a read within RUN_RETENTION.
    std::optional<time_point> m_roundBegun;
};

} // namespace snipefall
