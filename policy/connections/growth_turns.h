#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>

namespace snipefall {

/**
 * Decides which holders of memory may take in more while it is short, so that what has begun is completed one after the other.
 *
 * Load pattern: many long answers and bodies at the same time, each of which would fit alone. Above three quarters of the limit only one holder takes in more
 * than a small message, until it leaves or hardly grows; the others wait. The one with the shortest rest is next, so that ordinary callers don't wait behind
 * clients that ask for long answers. All others together never hold more than the limit beside it.
 */
class growth_turns
{
public:
    using holder = std::uint64_t;
    using steady_time = std::chrono::steady_clock::time_point;

    /** A holder of fewer bytes than this may always take in more, so that ordinary requests and answers don't wait behind long ones. */
    static constexpr std::size_t SMALL_BYTES = 16384;
    /** The rest of a message whose length isn't known. */
    static constexpr std::size_t UNKNOWN_BYTES = std::numeric_limits<std::size_t>::max();

    /** What a holder that asks has, and what its message still needs. */
    struct need
    {
        std::size_t heldBytes = 0;
        std::size_t restBytes = UNKNOWN_BYTES;
    };

    /** Whether the holder may take in more when all hold @p usedBytes. */
    bool mayGrow(holder asking, const need &asked, std::size_t usedBytes, std::size_t limitBytes, steady_time now);
    /** How long a holder that may not take in more waits before it asks again; longer the more of them wait, since each question costs processor time. */
    std::chrono::microseconds retryDelay() const;
    /** Notes that the holder takes in no more. */
    void leave(holder left);

private:
    struct waiting_holder
    {
        std::size_t restBytes = UNKNOWN_BYTES;
        std::uint64_t order = 0; ///< Of its first question.
        unsigned lostTurns = 0; ///< Turns that ended because it hardly grew; others go first.
    };

    void beginTurn(steady_time now);
    void endSlowTurn(steady_time now);

    std::unordered_map<holder, waiting_holder> m_waiting; ///< Includes the one that has its turn.
    std::optional<holder> m_current; ///< Has its turn.
    std::uint64_t m_lastOrder = 0;
    steady_time m_checkedAt; ///< When the growth of the current holder was last looked at.
    std::size_t m_bytesAtCheck = 0;
    std::size_t m_currentBytes = 0; ///< What the current holder had when it last asked.
};

} // namespace snipefall
