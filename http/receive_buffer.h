#pragma once

namespace snipefall {

/**
 * Size of the receive buffer of each connection. What the kernel holds for a connection that isn't read counts as memory of the process, and without a size the
 * kernel lets a buffer grow to megabytes. The kernel doubles the size for its own use.
 */
constexpr int RECEIVE_BUFFER_BYTES = 32768;

} // namespace snipefall
