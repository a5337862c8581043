#pragma once

#include <cstdint>

namespace snipefall {

/** The progress of slow start on the new version's backend servers. */
struct warm_up_state
{
    std::uint32_t servers = 0; ///< Live backend servers of the new version.
    std::uint32_t coldServers = 0; ///< How many of them are still in slow start.
};

} // namespace snipefall
