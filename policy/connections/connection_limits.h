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
 * Derives the limits from the descriptors that a process may open, files included, and from the memory that its connections may hold.
 *
 * The kernel may hold @p receiveBufferBytes for each connection, whatever the process reads. Those of all callers together stay within @p memoryBytes. If
 * @p descriptors is 0, it isn't known and sets no limit.
 */
connection_limits connectionLimits(std::size_t descriptors, std::size_t memoryBytes, std::size_t receiveBufferBytes);

} // namespace snipefall
