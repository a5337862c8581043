#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace snipefall {

/** What a client's connection costs the process, and what it is worth. */
struct connection_load
{
    std::string clientAddress;
    std::size_t bytes = 0; ///< Memory that is held for the connection.
    std::chrono::microseconds sinceProgress{0}; ///< Time since the client last sent or took bytes.
    bool isIdle = false; ///< No request has begun and none is unanswered.
    bool isReading = false; ///< No request is complete; it may have begun.
    bool isHandling = false; ///< A request is being handled, so that its answer isn't the client's to take yet.
};

} // namespace snipefall
