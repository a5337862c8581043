#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "policy/shard_failure.h"

namespace snipefall {

/** The state of one shard in a running query. Candidates are named by their position in the plan. */
struct shard_progress
{
    enum class state : std::uint8_t
    {
        open,
        answered,
        missing,
    };

    /** A running sub-request. */
    struct running_sub
    {
        std::uint32_t position = 0; ///< In the query's list of sub-requests.
        std::uint8_t candidate = 0;
    };

    static constexpr std::uint8_t MAX_IN_FLIGHT = 4;
    static constexpr std::size_t MAX_CANDIDATES = 32;

    /** The candidate for the next attempt, out of @p count; nothing when another attempt would not help now. */
    std::optional<std::uint8_t> pickCandidate(std::size_t count) const;
    bool wasTried(std::uint8_t candidate) const { return (tried >> candidate & 1U) != 0; }
    void addRunning(std::uint32_t position, std::uint8_t candidate);
    void removeRunning(std::uint32_t position);

    time_point dueAt{}; ///< When the next attempt is wanted.
    std::array<running_sub, MAX_IN_FLIGHT> running{}; ///< The first inFlight entries are valid, oldest first.
    std::uint32_t openPosition = 0;
    std::uint32_t excluded = 0; ///< Bit set of candidates that are of no use to this query.
    std::uint32_t tried = 0; ///< Bit set of candidates that got a sub-request.
    std::uint32_t denied = 0; ///< Bit set of candidates without a permit since the last pause.
    state current = state::open;
    shard_failure lastFailure = shard_failure::late;
    std::uint8_t inFlight = 0;
    std::uint8_t sends = 0;
    bool firstSent = false;
    bool waiting = false; ///< No candidate had a permit at the last attempt.
    bool notHeld = false; ///< Some candidate no longer holds the snapshot.
};

} // namespace snipefall
