#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "policy/bad_version_fact.h"
#include "policy/move_outcome.h"
#include "policy/move_record.h"
#include "policy/version_choice.h"

namespace snipefall {

/** Chooses the version of backend servers that serves a query of one service. Not thread-safe. */
class version_router
{
public:
    explicit version_router(service_id service);

    /** Sets the move record that was last read from the platform; @p readable is false if the last read failed. */
    void setMove(std::optional<move_record> record, bool readable);
    /** Stores a report of a bad version. Duplicates and facts of other services are ignored. A fact may arrive before the record of its move. */
    void addFact(const bad_version_fact &fact);

    /**
     * The version that serves the query; @p configured when no move is known.
     *
     * @p queryHash is stableHash() of the request id, so that a retry of a request is served by the same version. A query that the new version serves at one
     * share is also served by it at every larger share.
     */
    version_id choose(std::uint64_t queryHash, std::uint64_t nowMs, const version_id &configured) const { return decide(queryHash, nowMs, configured).version; }
    /** Like choose(), but also returns the reason. */
    version_choice decide(std::uint64_t queryHash, std::uint64_t nowMs, const version_id &configured) const;
    /** The state of the current move at @p nowMs, as far as this node knows it. */
    move_outcome outcome(std::uint64_t nowMs) const { return moveOutcome(m_record, m_readable, nowMs); }
    /** The report of a bad version that stops the current move on this node, if any. */
    std::optional<bad_version_fact> stoppedBy() const;

private:
    service_id m_service;
    std::optional<move_record> m_record;
    bool m_readable = false;
    std::uint64_t m_moveHash = 0; ///< Hash of the move id; 0 without a move.
    std::deque<bad_version_fact> m_facts; ///< Oldest first; at most MAX_FACTS.
};

} // namespace snipefall
