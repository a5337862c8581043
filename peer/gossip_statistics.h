#pragma once

#include <cstdint>

namespace snipefall {

/** Counts of a node's datagrams since its start; bytes without UDP and IP headers. */
struct gossip_statistics
{
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t refused = 0;
};

} // namespace snipefall
