#pragma once

namespace snipefall {

/** What a backend server states about itself in an answer. */
struct server_announcement
{
    bool leaving = false; ///< The server is shutting down and must not receive new requests.
};

} // namespace snipefall
