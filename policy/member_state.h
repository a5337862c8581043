#pragma once

#include <cstdint>

namespace snipefall {

/** State of a member in a node's view. The values are part of the wire protocol. */
enum class member_state : std::uint8_t
{
    alive = 0,
    suspect = 1, ///< Did not answer a probe; counts as live until the suspicion times out.
    dead = 2,
    left = 3, ///< Announced that it leaves.
};

/** Returns true for members that are probed and receive requests: alive and suspect. */
inline bool isLive(member_state state)
{
    return state == member_state::alive || state == member_state::suspect;
}

/** Returns true for members that did not answer, and may have been lost: suspect and dead. */
inline bool isPresumedLost(member_state state)
{
    return state == member_state::suspect || state == member_state::dead;
}

inline const char *toString(member_state state)
{
    constexpr const char *NAMES[] = {"alive", "suspect", "dead", "left"};
    return NAMES[static_cast<std::uint8_t>(state) & 3U];
}

} // namespace snipefall
