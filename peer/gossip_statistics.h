#pragma once

#include <cstdint>

namespace snipefall {

/** Datagram counters of a node since its start. Byte counts exclude UDP and IP headers. */
struct gossip_statistics
{
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t refused = 0;
};

} // namespace snipefall
