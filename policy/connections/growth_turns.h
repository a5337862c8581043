#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace snipefall {

/**
 * Decides which holders of memory may take in more while it is short, so that what has begun is completed one after the other.
 *
 * Load pattern: many long answers and bodies at the same time, each of which would fit alone. Above three quarters of the limit only one holder takes in more
 * than a small message, until it leaves or hardly grows; the others wait and take turns in the order in which they asked. All others together never hold more
 * than the limit beside it.
 */
class growth_turns
{
public:
    using holder = std::uint64_t;
    using steady_time = std::chrono::steady_clock::time_point;

    /** A holder of fewer bytes than this may always take in more, so that ordinary requests and answers don't wait behind long ones. */
    static constexpr std::size_t SMALL_BYTES = 16384;

    /** Whether the holder, which holds @p heldBytes of the @p usedBytes, may take in more. */
    bool mayGrow(holder asking, std::size_t heldBytes, std::size_t usedBytes, std::size_t limitBytes, steady_time now);
    /** Notes that the holder takes in no more. */
    void leave(holder left);

private:
    void beginTurn(steady_time now);

    std::map<std::uint64_t, holder> m_waiting; ///< By the order of the first question; the first one has its turn.
    std::unordered_map<holder, std::uint64_t> m_orders;
    std::uint64_t m_lastOrder = 0;
    steady_time m_checkedAt; ///< When the growth of the holder that has its turn was last looked at.
    std::size_t m_bytesAtCheck = 0;
    std::size_t m_turnBytes = 0; ///< What the holder that has its turn held when it last asked.
};

} // namespace snipefall
