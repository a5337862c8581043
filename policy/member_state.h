#pragma once

#include <cstdint>

namespace snipefall {

/** What a node believes of a member; the values are part of the protocol. */
enum class member_state : std::uint8_t
{
    alive = 0,
    suspect = 1, ///< Didn't answer a probe; counts as live until its suspicion runs out.
    dead = 2,
    left = 3, ///< Told its peers that it stops.
};

/** True for members that get probes and work: alive and suspect. */
inline bool isLive(member_state state)
{
    return state == member_state::alive || state == member_state::suspect;
}

inline const char *toString(member_state state)
{
    constexpr const char *NAMES[] = {"alive", "suspect", "dead", "left"};
    return NAMES[static_cast<std::uint8_t>(state) & 3U];
}

} // namespace snipefall
