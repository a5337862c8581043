#pragma once

#include <optional>

#include "core/clock.h"

namespace snipefall {

/** What a backend server states about itself in an answer. */
struct server_announcement
{
    bool leaving = false; ///< The server is shutting down and must not receive new requests.
    std::optional<double> requestsPerSecond; ///< The requests that the server takes from all nodes together, while it says so.
    std::optional<duration> pause; ///< The server refused a request and wants no further ones from this node for this time.
};

} // namespace snipefall
