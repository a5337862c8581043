#pragma once

#include <cstddef>

namespace snipefall {

/** Numbers of connections that the servers of a process may have open. */
struct connection_limits
{
    std::size_t callers; ///< On the address of callers.
    std::size_t other; ///< On each of the other addresses, of which there are three.
};

/**
 * Derives the limits from the descriptors of a process that aren't for files, and from the memory that its connections may hold.
 *
 * The kernel may hold @p receiveBufferBytes for each connection, whatever the process reads. All connections of callers together stay within the memory.
 * A number of descriptors of 0 means that it isn't known.
 */
connection_limits connectionLimits(std::size_t descriptors, std::size_t memoryBytes, std::size_t receiveBufferBytes);

} // namespace snipefall
