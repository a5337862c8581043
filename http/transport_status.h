#pragma once

namespace snipefall {

/** How a request ended at the transport level. */
enum class transport_status
{
    ok, ///< A complete response was received, with any HTTP status code.
    connect_failed, ///< No connection was established, so nothing was sent.
    closed, ///< The connection was closed before the response was complete, or the bytes were no valid response.
    no_progress, ///< Neither the request nor its response made progress within the progress timeout.
    deadline_exceeded, ///< The deadline of the request passed.
    cancelled, ///< The sender cancelled the request, or its engine was destroyed.
};

/** The name of the enumerator. */
const char *toString(transport_status status);

} // namespace snipefall
