#pragma once

#include <cstdint>

#include "policy/move_decision.h"
#include "policy/move_input.h"

namespace snipefall {

/** Largest tolerated difference between the wall clocks of two nodes. */
constexpr std::uint64_t MAX_CLOCK_SKEW_MS = 500;
/** Upper bound of the time from a node's decision to write a record until the platform has applied the write or never will. */
constexpr std::uint64_t MAX_WRITE_DELAY_MS = 3'000;
/**
 * A node may decide to finish a move only while more than this time is left before the deadline. A delayed write could otherwise record the move as done
 * after another node has reported it as rolled back.
 */
constexpr std::uint64_t FINISH_MARGIN_MS = 2 * MAX_CLOCK_SKEW_MS + MAX_WRITE_DELAY_MS;

/**
 * Decides the next step of a move, that is, of the staged rollout of a new version of a service. Stateless: several nodes may drive the same move at the same
 * time.
 *
 * A node carries out each decision other than none by one conditional write. After any failure of that write, including a conflict or a lost response, the
 * node reads the record again and makes a new decision; it never retries the write.
 */
class move_controller
{
public:
    /** Returns the next step, or action none with the reason for waiting. */
    move_decision decide(const move_input &input) const;
};

} // namespace snipefall
