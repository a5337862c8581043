#pragma once

#include <cstdint>

namespace snipefall {

/** How far the new version's backend servers are through slow start. */
struct warm_up_state
{
    std::uint32_t servers = 0; ///< Live backend servers of the new version.
    std::uint32_t coldServers = 0; ///< Those still in slow start.
};

} // namespace snipefall
