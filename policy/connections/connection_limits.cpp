#include "policy/connections/connection_limits.h"

#include <algorithm>

namespace snipefall {

namespace {

constexpr std::size_t FILE_DESCRIPTORS = 200; ///< The platform counts this many descriptors of a process as files.
constexpr std::size_t MAX_CALLERS = 65536;
constexpr std::size_t MIN_OTHER = 8;

} // namespace

connection_limits connectionLimits(std::size_t descriptors, std::size_t memoryBytes, std::size_t receiveBufferBytes)
{
    std::size_t callers = std::min(MAX_CALLERS, memoryBytes / receiveBufferBytes);
    if (descriptors > FILE_DESCRIPTORS) {
        // The other half is for servers, the store and checks.
        callers = std::min(callers, (descriptors - FILE_DESCRIPTORS) / 2);
    }
    return {callers, std::max(callers / 8, MIN_OTHER)};
}

} // namespace snipefall
