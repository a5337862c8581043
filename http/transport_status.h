#pragma once

namespace snipefall {

/** How a request ended at the transport. */
enum class transport_status
{
    ok, ///< A whole response was received, whatever its status code.
    connect_failed, ///< No connection; nothing was sent.
    closed, ///< The connection closed before the response was whole.
    no_progress, ///< No byte arrived within the progress timeout.
    deadline_exceeded, ///< The deadline of the request passed.
    cancelled, ///< The sender gave the request up.
};

const char *toString(transport_status status);

} // namespace snipefall
