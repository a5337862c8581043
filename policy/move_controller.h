#pragma once

#include <cstdint>

#include "policy/move_decision.h"
#include "policy/move_input.h"

namespace snipefall {

/** Largest difference between the wall clocks of two nodes. */
constexpr std::uint64_t MAX_CLOCK_SKEW_MS = 500;
/** Longest time from the decision to write a record until the write takes effect or never does. */
constexpr std::uint64_t MAX_WRITE_DELAY_MS = 3'000;
/** No node decides to finish a move later than this before the deadline, so that no record turns done after a node has called it rolled back. */
constexpr std::uint64_t DONE_MARGIN_MS = 2 * MAX_CLOCK_SKEW_MS + MAX_WRITE_DELAY_MS;

/**
 * Decides the next step of a move. Stateless: any node may drive any move, at the same time as others.
 *
 * A decision other than none is carried out by one conditional write. After any failure of that write, conflict and lost answer included, the node reads
 * the record again and decides anew; it never repeats a write.
 */
class move_controller
{
public:
    move_decision decide(const move_input &input) const;
};

} // namespace snipefall
