#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "policy/connections/connection_load.h"

namespace snipefall {

/**
 * The connections to close, by index, when the process holds @p usedBytes for its connections and may hold @p limitBytes.
 *
 * Load pattern: clients that send without an end or read slowly, beside ordinary callers. Above three quarters of the limit those that have not moved for a
 * second are closed, until the rest fits; only above the limit others are too. Those that hold most and move least go first, and before them those of a client
 * address that holds more than half of the memory. A connection whose request is being handled is never closed, since its caller waits.
 */
std::vector<std::size_t> connectionsToShed(const std::vector<connection_load> &connections, std::size_t limitBytes, std::size_t usedBytes);

/**
 * The connection to close for a new one when the process has no connection left; nothing if all are in use.
 *
 * Load pattern: clients that open many connections and send nothing, or a part of a request. Idle ones go before incomplete requests. Those of the address with
 * the most connections go first, if these are more than half of all, and otherwise the one that is idle for longest.
 */
std::optional<std::size_t> connectionToEvict(const std::vector<connection_load> &connections);

} // namespace snipefall
