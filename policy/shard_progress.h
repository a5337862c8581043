#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "policy/shard_failure.h"

namespace snipefall {

/** State of one shard in a running query. A candidate is identified by its index in shard_plan::candidates. */
struct shard_progress
{
    enum class state : std::uint8_t
    {
        open,
        answered,
        missing,
    };

    /** A sub-request in flight. */
    struct running_sub_request
    {
        std::uint32_t position = 0; ///< Index in the query's list of sub-requests.
        std::uint8_t candidate = 0;
    };

    static constexpr std::uint8_t MAX_IN_FLIGHT = 4;
    static constexpr std::size_t MAX_CANDIDATES = 32;

    /**
     * Returns the candidate for the next attempt, out of the first @p count.
     *
     * Prefers an idle candidate without an earlier attempt, then any idle one. Returns nothing if another attempt would not help now.
     */
    std::optional<std::uint8_t> pickCandidate(std::size_t count) const;
    bool wasTried(std::uint8_t candidate) const { return (triedCandidates >> candidate & 1U) != 0; }
    void addRunning(std::uint32_t position, std::uint8_t candidate);
    void removeRunning(std::uint32_t position);

    time_point dueAt{}; ///< Time at which the next attempt is due.
    std::array<running_sub_request, MAX_IN_FLIGHT> running{}; ///< The first inFlight entries are valid, oldest first.
    std::uint32_t openPosition = 0; ///< Index in the query's list of open shards; only valid in state open.
    std::uint32_t excludedCandidates = 0; ///< Bit set of candidates that failed permanently for this query.
    std::uint32_t triedCandidates = 0; ///< Bit set of candidates to which a sub-request was sent.
    std::uint32_t deniedCandidates = 0; ///< Bit set of candidates that refused a permit since the last permit retry delay.
    state currentState = state::open;
    shard_failure lastFailure = shard_failure::late;
    std::uint8_t inFlight = 0;
    std::uint8_t sends = 0;
    bool firstSent = false;
    bool waitsForPermit = false; ///< Whether the shard has nothing in flight and waits for a permit of one of its candidates.
    bool snapshotNotHeld = false; ///< Whether a candidate reported that it no longer holds the snapshot.
};

} // namespace snipefall
